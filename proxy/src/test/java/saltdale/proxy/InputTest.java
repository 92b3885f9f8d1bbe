package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saltdale.proxy.SimOperator.change;
import static saltdale.proxy.SimOperator.config;
import static saltdale.proxy.SimOperator.read;
import static saltdale.proxy.SimOperator.replace;
import static saltdale.proxy.SimOperator.replaceUntilAcknowledged;
import static saltdale.proxy.SimOperator.route;
import static saltdale.proxy.SimOperator.servingCluster;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import saltdale.control.ConfigurationCodec;
import saltdale.control.MalformedMessage;
import saltdale.control.Member;
import saltdale.control.Trees;
import saltdale.control.message.InstanceMessage.DemandReport;
import saltdale.control.message.InstanceMessage.InstanceReady;
import saltdale.control.message.Message;
import saltdale.control.message.MessageCodec;
import saltdale.control.message.MessageKind;
import saltdale.control.message.SessionMessage.LeaseRenewal;
import saltdale.control.message.SessionMessage.MembersChange;

/** Input of operators and other processes is validated completely before it has any effect. */
class InputTest {
    private static String withRoutes(String routes) {
        return config(2).replace("\"routes\":[", "\"routes\":[" + routes + ",");
    }

    private static Stream<String> invalidReplacements() {
        String good = route("r-9", "/c/", "idempotent", "fn");
        return Stream.of(
                "",
                "{",
                "[]",
                "null",
                "7",
                "\"x\"",
                config(2).substring(0, 300),
                config(2) + "x",
                "{}",
                "[".repeat(100_000),
                "{\"a\":".repeat(100_000),
                config(2).replace("\"revision\":2", "\"revision\":\"2\""),
                config(2).replace("\"revision\":2", "\"revision\":2.5"),
                config(2).replace("\"revision\":2", "\"revision\":1e400"),
                config(2).replace("\"revision\":2", "\"revision\":-2"),
                config(1),
                config(0),
                config(2).replace("\"services\":[{", "\"services\":[7,{"),
                config(2).replace("\"name\":\"fn\"", "\"name\":\"other\""),
                withRoutes("\"r\""),
                withRoutes("null"),
                withRoutes(good.replace("\"fn\"", "\"nobody\"")),
                withRoutes(good + "," + good),
                withRoutes(good.replace("/c/", "/a/")),
                withRoutes(good.replace("/c/", "c")),
                withRoutes(good.replace("r-9", "r-0")),
                withRoutes(good.replace("\"timeout_ms\":5000", "\"timeout_ms\":0")),
                withRoutes(good.replace("\"timeout_ms\":5000", "\"timeout_ms\":-1")),
                withRoutes(good.replace("\"hostname\":\"h.example\",", "")),
                withRoutes(good.replace("idempotent", "sometimes")),
                withRoutes(good.replace("\"service\":\"fn\"", "\"services\":[]")),
                withRoutes(good.replace("\"service\":\"fn\"", "\"services\":[{\"service\":\"fn\",\"weight\":0}]")),
                withRoutes(good.replace(
                        "\"service\":\"fn\"",
                        "\"services\":[{\"service\":\"fn\",\"weight\":0.0},{\"service\":\"fn\",\"weight\":0}]")),
                withRoutes(good.replace(
                        "\"service\":\"fn\"",
                        "\"services\":[{\"service\":\"fn\",\"weight\":-1},{\"service\":\"fn\",\"weight\":2}]")),
                withRoutes(good.replace(
                        "\"service\":\"fn\"",
                        "\"services\":[{\"service\":\"fn\",\"weight\":1},{\"service\":\"no\",\"weight\":1}]")));
    }

    private static Stream<String> invalidAmendments() {
        String set = "{\"revision\":2,\"set_items\":{\"routes\":[";
        return Stream.of(
                "{",
                "[]",
                "{}",
                "{\"revision\":1}",
                "{\"revision\":2,\"set_items\":7}",
                "{\"revision\":2,\"set_items\":{\"routes\":{}}}",
                "{\"revision\":2,\"set_items\":{\"revision\":[]}}",
                "{\"revision\":2,\"remove_names\":{\"services\":[\"fn\"]}}",
                "{\"revision\":2,\"remove_names\":{\"routes\":[7]}}",
                set + route("r-9", "/c/", "idempotent", "nobody") + "]}}",
                set + route("r-9", "/a/", "idempotent", "fn") + "]}}",
                set + "{\"hostname\":\"h\"}]}}",
                set + route("r-0", "/a/", "idempotent", "fn").replace("5000", "0") + "]}}");
    }

    @Test
    void invalidConfigurationIsRejectedWithoutEffect() {
        SimWorld world = new SimWorld(1).withNodes(3, 0).startAll();
        world.run(2500);
        assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000));
        SimMachine node = world.controlNodes.get(1);
        String before = read(world, node);
        invalidReplacements()
                .forEach(body -> assertThat(abbreviated(body), change(world, node, false, "1", body), is(400)));
        invalidAmendments()
                .forEach(body -> assertThat(abbreviated(body), change(world, node, true, "1", body), is(400)));
        for (String base : new String[] {null, "", "x", "1.0", "99999999999999999999"}) {
            assertThat("based on " + base, change(world, node, false, base, config(2)), is(400));
        }
        assertThat(read(world, node), is(before));
        assertThat(world.newestChosen.revision(), is(1L));
        assertThat(
                change(
                        world,
                        node,
                        true,
                        "1",
                        "{\"revision\":2,\"remove_names\":{\"routes\":[\"r-1\",\"none\"]},"
                                + "\"set_items\":{\"routes\":[" + route("r-7", "/c/", "idempotent", "fn") + "]}}"),
                is(200));
        assertThat(read(world, node), containsString("/c/"));
        assertThat(read(world, node), not(containsString("/b/")));
    }

    /** Amends the configuration by a route with a note, which leads to this revision; returns the status. */
    private static int amendWithNote(SimWorld world, SimMachine node, int revision, String note) {
        String item = route("r-" + revision, "/c" + revision + "/", "idempotent", "fn")
                .replace("{", "{\"note\":" + note + ",");
        String body = "{\"revision\":" + revision + ",\"set_items\":{\"routes\":[" + item + "]}}";
        return change(world, node, true, Long.toString(revision - 1), body);
    }

    /** Guards against an end of the control nodes by amendments of a configuration that grows without a limit. */
    @Test
    void amendmentThatMakesTheConfigurationTooLargeIsRejected() {
        SimWorld world = new SimWorld(1).withNodes(3, 0).startAll();
        SimMachine node = world.controlNodes.get(0);
        assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000));
        String third = "x".repeat(ConfigurationCodec.MAX_TEXT_BYTES / 3);
        for (int i = 2; i <= 4; i++) {
            assertThat(amendWithNote(world, node, i, '"' + third + '"'), is(i < 4 ? 200 : 400));
        }
        assertThat(world.newestChosen.revision(), is(3L));
        assertThat(world.violations, is(empty()));
    }

    /** Guards against orders of legal size whose trees take many times the memory of their texts. */
    @Test
    void orderOfManyValuesIsRejected() {
        SimWorld world = new SimWorld(1).withNodes(3, 0).startAll();
        SimMachine node = world.controlNodes.get(0);
        assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000));
        String third = "{},".repeat(ConfigurationCodec.MAX_VALUES / 3 - 100) + "{}";
        String whole =
                config(2).replaceFirst("\\{", "{\"note\":[" + third + "," + third + "," + third + "," + third + "],");
        assertThat(whole.length() < ConfigurationCodec.MAX_TEXT_BYTES, is(true));
        assertThat(change(world, node, false, "1", whole), is(400));
        for (int i = 2; i <= 5; i++) {
            assertThat(amendWithNote(world, node, i, "[" + third + "]"), is(i < 5 ? 200 : 400));
        }
        assertThat(world.newestChosen.revision(), is(4L));
        assertThat(world.violations, is(empty()));
    }

    @Test
    void configurationIsReadBackUnchanged() throws Exception {
        SimWorld world = new SimWorld(4).withNodes(3, 0).startAll();
        world.run(2500);
        String sent = config(1, 5)
                .replace("\"priority\":1", "\"priority\":1,\"more\":[null,1.25,-7,true,{\"\u00e9\":\"\u20ac\"}]");
        assertTrue(replaceUntilAcknowledged(world, 0, sent, 5000));
        assertThat(
                Trees.fromJson(read(world, world.controlNodes.get(2)).getBytes(StandardCharsets.UTF_8)),
                is(Trees.fromJson(sent.getBytes(StandardCharsets.UTF_8))));
    }

    private static String abbreviated(String body) {
        return body.length() < 1000 ? body : body.substring(0, 100);
    }

    /** Sends copies of each kind of message that a cluster exchanges, each with one part replaced by another type. */
    @Test
    void malformedMessagesHaveNoEffect() throws Exception {
        SimWorld world = new SimWorld(2);
        Map<MessageKind, List<Message>> seen = new EnumMap<>(MessageKind.class);
        world.messageObserver = m -> {
            List<Message> kind = seen.computeIfAbsent(m.kind(), k -> new ArrayList<>());
            if (kind.size() < 3) {
                kind.add(m);
            }
        };
        servingCluster(world, 3, 4);
        SimOperator.load(world, 20, 4000);
        world.run(3000);
        world.proxies.get(0).powerOff();
        world.run(3000);
        world.proxies.get(0).start();
        world.controlNodes.get(0).kill();
        world.controlNodes.get(0).start();
        world.run(4000);
        world.messageObserver = m -> {};
        String before = read(world, world.controlNodes.get(0));
        List<String> voters = world.voters();
        int sent = 0;
        for (List<Message> kind : seen.values()) {
            for (Message message : kind) {
                List<Object> malformed = new ArrayList<>();
                addMalformedCopies(MessageCodec.tree(message), malformed);
                for (Object malformedMessage : malformed) {
                    for (SimMachine to : List.of(world.controlNodes.get(1), world.proxies.get(1))) {
                        sent++;
                        send(to, malformedMessage);
                    }
                }
            }
        }
        assertTrue(sent > 500, "only " + sent);
        world.run(5000);
        assertThat(read(world, world.controlNodes.get(1)), is(before));
        assertThat(world.voters(), is(voters));
        assertThat(replace(world, world.controlNodes.get(1), 1, config(2)), is(200));
        world.run(1500);
        SimPlatform.OutgoingCall call = world.platform.call(world.proxies.get(1), "h.example", "/a/1", 3000);
        world.run(3000);
        assertThat(call.answers, is(List.of(200)));
        assertThat(world.violations, is(empty()));
    }

    private static void send(SimMachine to, Object tree) {
        try {
            // Encoded as on the wire. The sender is of the kind that sends such messages, so that it understands
            // replies.
            Message message = MessageCodec.decode(Trees.toCbor(tree));
            boolean sentByProxy = message instanceof LeaseRenewal
                    || message instanceof DemandReport
                    || message instanceof InstanceReady;
            to.process.receive(sentByProxy ? "10.1.0.1" : "10.0.0.3", message);
        } catch (MalformedMessage expected) {
            // Reported as malformed, with no further effect.
        } catch (RuntimeException e) {
            throw new AssertionError("not reported as malformed: " + tree, e);
        }
    }

    /** Adds copies of the tree to the list, each with one part replaced by a value of another type. */
    private static void addMalformedCopies(Object tree, List<Object> copies) {
        if (tree instanceof Map<?, ?> map) {
            map.forEach((name, value) -> {
                List<Object> parts = new ArrayList<>();
                addMalformedCopies(value, parts);
                parts.add(value instanceof String ? (Object) 7L : "x");
                for (Object part : parts) {
                    Map<Object, Object> copy = new LinkedHashMap<>(map);
                    copy.put(name, part);
                    copies.add(copy);
                }
            });
        } else if (tree instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                List<Object> parts = new ArrayList<>();
                addMalformedCopies(list.get(i), parts);
                parts.add(list.get(i) instanceof String ? (Object) 7L : "x");
                for (Object part : parts) {
                    List<Object> copy = new ArrayList<>(list);
                    copy.set(i, part);
                    copies.add(copy);
                }
            }
        }
    }

    /** A renewal of which only a part can be decoded adds no member. */
    @Test
    void malformedRenewalAddsNoMember() throws Exception {
        SimWorld world = servingCluster(3, 3, 2);
        List<Member> received = new ArrayList<>();
        world.messageObserver = m -> {
            if (m instanceof MembersChange change) {
                received.addAll(change.changed());
            }
        };
        Member ghost = new Member("life", "ghost", "z-a", "10.1.0.99", false);
        List<Object> renewal = MessageCodec.tree(new LeaseRenewal(ghost, 1, "session", -1, "", ""));
        for (int field = 2; field < renewal.size(); field++) {
            List<Object> malformed = new ArrayList<>(renewal);
            malformed.set(field, List.of());
            send(world.controlNodes.get(0), malformed);
        }
        world.run(1500);
        assertThat(received.contains(ghost), is(false));
    }

    /** A decoding error names the kind of the message and its field, or what is wrong with the message as a whole. */
    @Test
    void decodingErrorNamesKindAndField() {
        List<Object> renewal =
                MessageCodec.tree(new LeaseRenewal(new Member("l", "n", "z", "h", false), 1, "session", -1, "", ""));
        List<Object> withoutNumber = new ArrayList<>(renewal);
        withoutNumber.set(2, "x");
        List<Object> withExtraField = new ArrayList<>(renewal);
        withExtraField.add(1L);
        Map<List<Object>, String> expectedErrors = Map.of(
                withoutNumber,
                "message LEASE_RENEWAL, field count: is no whole number",
                renewal.subList(0, 4),
                "message LEASE_RENEWAL, field revision: is missing",
                withExtraField,
                "message LEASE_RENEWAL: 1 fields too many",
                List.of(),
                "no known kind of message",
                List.of(99L),
                "no known kind of message");
        expectedErrors.forEach((tree, expected) -> assertThat(
                assertThrows(MalformedMessage.class, () -> MessageCodec.decode(Trees.toCbor(tree)))
                        .getMessage(),
                is(expected)));
    }
}
