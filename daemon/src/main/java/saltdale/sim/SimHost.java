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
 * Hosts many dispatchers on the protocol of the simulator (lichen-4646): each line of the input is a batch of events,
 * each line of the output the reply to a batch. The dispatchers share nothing but the two streams.
 */
public final class SimHost {
    private final BufferedReader in;
    private final OutputStream out;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private final ObjectMapper mapper = new ObjectMapper();
    private final JsonFactory factory = mapper.getFactory();
    private final Map<Long, SimulatedDispatcher> dispatchers = new LinkedHashMap<>();

    /** Creates a host that reads batches from {@code in} and writes replies to {@code out}. */
    public SimHost(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
    }

    /** Replies to batches until the input ends. */
    public void run() throws IOException {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (!line.isBlank()) {
                reply(line);
            }
        }
    }

    private void reply(String line) throws IOException {
        JsonNode batch;
        try {
            batch = mapper.readTree(line);
        } catch (JsonProcessingException e) {
            throw new MalformedInputException("input line is not a JSON value: " + e.getOriginalMessage());
        }
        JsonNode now = batch.get("Now");
        JsonNode events = batch.get("in");
        if (now == null || !now.isIntegralNumber() || events == null || !events.isArray()) {
            throw new MalformedInputException("input line is not a batch: it needs an integer Now and an array in");
        }
        buffer.reset(); // a reply is written as a whole or, after malformed input, not at all
        try (JsonGenerator output = factory.createGenerator(buffer)) {
            output.writeStartObject();
            output.writeArrayFieldStart("output");
            Set<SimulatedDispatcher> active = new LinkedHashSet<>();
            for (JsonNode event : events) {
                handle(event, now.longValue(), output, active);
            }
            for (SimulatedDispatcher dispatcher : active) {
                dispatcher.endBatch();
            }
            output.writeEndArray();
            output.writeEndObject();
            output.writeRaw('\n');
        }
        buffer.writeTo(out);
        out.flush();
    }

    private void handle(JsonNode event, long now, JsonGenerator output, Set<SimulatedDispatcher> active)
            throws IOException {
        if (!event.isArray() || event.isEmpty() || !event.get(0).isTextual()) {
            throw new MalformedInputException("event is not an array that starts with its name");
        }
        String name = event.get(0).textValue();
        JsonFields fields = new JsonFields(name, event);
        if (!SimulatedDispatcher.EVENT_NAMES.contains(name)) {
            throw new MalformedInputException(name + ": unknown event name");
        }
        long id = fields.integer(1, "Who");
        SimulatedDispatcher dispatcher = dispatchers.get(id);
        if (name.equals("PowerOn")) {
            if (dispatcher != null) {
                active.remove(dispatcher);
            }
            dispatcher = new SimulatedDispatcher(id, now, fields);
            dispatchers.put(id, dispatcher);
        } else if (dispatcher == null) {
            throw new MalformedInputException(name + ": Who is not a running dispatcher: " + id);
        } else if (name.equals("PowerOff")) {
            dispatchers.remove(id);
            active.remove(dispatcher);
            return;
        }
        dispatcher.beginEvent(now, output);
        dispatcher.handle(name, fields);
        active.add(dispatcher);
    }
}
