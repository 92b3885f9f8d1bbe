package saltdale.sim;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import saltdale.settings.JsonFields;
import saltdale.settings.MalformedInputException;

/**
 * Hosts many dispatchers on the simulator's wire (lichen-4646): one batch a line on the input, one reply a
 * line on the output. The instances share the streams and nothing else.
 */
public final class SimHost {
    private final BufferedReader in;
    private final OutputStream out;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private final ObjectMapper mapper = new ObjectMapper();
    private final JsonFactory factory = mapper.getFactory();
    private final Map<Long, Instance> instances = new LinkedHashMap<>();

    public SimHost(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
    }

    /** Answers batches until the input ends. */
    public void run() throws IOException {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (!line.isBlank()) {
                answer(line);
            }
        }
    }

    private void answer(String line) throws IOException {
        JsonNode batch;
        try {
            batch = mapper.readTree(line);
        } catch (JsonProcessingException e) {
            throw new MalformedInputException("a line is no JSON value: " + e.getOriginalMessage());
        }
        JsonNode now = batch.get("Now");
        JsonNode events = batch.get("in");
        if (now == null || !now.isIntegralNumber() || events == null || !events.isArray()) {
            throw new MalformedInputException("a line is no batch: it needs a whole number Now and an array in");
        }
        buffer.reset(); // a reply goes out whole or, after malformed input, not at all
        try (JsonGenerator reply = factory.createGenerator(buffer)) {
            reply.writeStartObject();
            reply.writeArrayFieldStart("output");
            Set<Instance> touched = new LinkedHashSet<>();
            for (JsonNode event : events) {
                handle(event, now.longValue(), reply, touched);
            }
            for (Instance instance : touched) {
                instance.settle();
            }
            reply.writeEndArray();
            reply.writeEndObject();
            reply.writeRaw('\n');
        }
        buffer.writeTo(out);
        out.flush();
    }

    private void handle(JsonNode event, long now, JsonGenerator reply, Set<Instance> touched) throws IOException {
        if (!event.isArray() || event.isEmpty() || !event.get(0).isTextual()) {
            throw new MalformedInputException("an event is no array that begins with its name");
        }
        String name = event.get(0).textValue();
        JsonFields fields = new JsonFields(name, event);
        if (!Instance.EVENTS.contains(name)) {
            throw new MalformedInputException(name + ": no event has this name");
        }
        long who = fields.integer(1, "Who");
        Instance instance = instances.get(who);
        if (name.equals("PowerOn")) {
            if (instance != null) {
                touched.remove(instance);
            }
            instance = new Instance(who, now, fields);
            instances.put(who, instance);
        } else if (instance == null) {
            throw new MalformedInputException(name + ": Who names an instance that is not running: " + who);
        } else if (name.equals("PowerOff")) {
            instances.remove(who);
            touched.remove(instance);
            return;
        }
        instance.at(now, reply);
        instance.handle(name, fields);
        touched.add(instance);
    }
}
