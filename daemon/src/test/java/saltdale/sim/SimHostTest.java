package saltdale.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import saltdale.settings.MalformedInputException;

class SimHostTest {
    private static final String START = """
            {"Now":5,"in":[["PowerOn",3,18446744073709551615,{"Unheard":[1],"Limits":{"Probes":true,"MostDispatches":2},\
            "Workloads":[{"Name":"w","Patience":6000000,"PromisedTime":400000,"Repeat":"pure"}]}],\
            ["Update",3,2,1,[["k","z",1,2,"10.0.0.1:7001",0,null]]]]}
            """;
    private static final String REQUEST = """
            {"Now":10,"in":[["NewRequest",3,"rq_a","w",null,null,6000000]]}
            """;

    private static String run(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimHost(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String complaint(String input) {
        return assertThrows(MalformedInputException.class, () -> run(input)).getMessage();
    }

    @Test
    void anEmptyBatchGetsAnEmptyReply() throws IOException {
        assertEquals("{\"output\":[]}\n", run("{\"Now\":8412250,\"in\":[]}\n"));
    }

    @Test
    void aRequestIsProbedForAndDispatchedWithTrailingValuesAbsent() throws IOException {
        String output = run(START + REQUEST + """
                {"Now":20,"in":[["CheckResult",3,"10.0.0.1:7001",1,10]]}
                {"Now":30,"in":[["AttemptEnd",3,"rq_a",0,"10.0.0.1:7001",1,10,true],["TimedOutClient",3,"rq_a"]]}
                """);
        String[] lines = output.split("\n");
        assertTrue(lines[1].contains("[\"AskLoad\",3,\"10.0.0.1:7001\"]"), lines[1]);
        assertTrue(lines[2].contains("[\"CallOut\",3,\"rq_a\",\"10.0.0.1:7001\",0]"), lines[2]);
        assertEquals("{\"output\":[]}", lines[3]);
    }

    @Test
    void aRestartInOneBatchForgetsWhatWasHeld() throws IOException {
        String again = START.replace("\"in\":[", "\"in\":[[\"PowerOff\",3],");
        String[] lines = run(START + REQUEST + again).split("\n");
        assertEquals("{\"output\":[]}", lines[2]);
    }

    @Test
    void malformedInputIsNamed() {
        assertTrue(complaint("nonsense\n").contains("JSON"));
        assertTrue(complaint("{\"Now\":1}\n").contains("batch"));
        assertTrue(complaint("{\"Now\":1,\"in\":[[\"Jump\",3]]}\n").contains("Jump"));
        assertTrue(
                complaint(START + "{\"Now\":9,\"in\":[[\"Ring\",3,\"x\"]]}\n").contains("Ring: Token"));
        assertTrue(complaint("{\"Now\":9,\"in\":[[\"Ring\",4,1]]}\n").contains("Ring: Who"));
        assertTrue(complaint(START + "{\"Now\":9,\"in\":[[\"NewRequest\",3,\"rq\",\"v\",null,null,1]]}\n")
                .contains("NewRequest: TierClass"));
    }

    @Test
    void malformedInputGetsNoReply() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] input = "{\"Now\":9,\"in\":[[\"Ring\",4,1]]}\n".getBytes(StandardCharsets.UTF_8);
        assertThrows(MalformedInputException.class, () -> new SimHost(new ByteArrayInputStream(input), out).run());
        assertEquals(0, out.size());
    }
}
