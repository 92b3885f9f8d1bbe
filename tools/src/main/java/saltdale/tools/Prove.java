package saltdale.tools;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import saltdale.rig.simulate.JudgeProof;
import saltdale.rig.simulate.OverloadProof;

@Command(
        name = "prove",
        mixinStandardHelpOptions = true,
        description = "Tests the judge: it must catch dispatchers with one defect each, and pass correct ones.")
final class Prove implements Callable<Integer> {
    @Override
    public Integer call() {
        List<JudgeProof.Case> cases = JudgeProof.run();
        for (JudgeProof.Case each : cases) {
            System.out.printf(
                    "%-6s %-22s %-20s %s%n",
                    each.asExpected() ? "ok" : "WRONG",
                    each.name(),
                    each.expected() == null
                            ? "passes"
                            : each.expected().name().toLowerCase().replace('_', ' '),
                    each.firstViolation());
        }
        List<OverloadProof.Case> overloads = OverloadProof.run();
        for (OverloadProof.Case each : overloads) {
            System.out.printf(
                    "%-6s %-26s %s%n",
                    each.asExpected() ? "ok" : "WRONG",
                    each.name(),
                    each.violations().isEmpty() ? "keeps all laws of an overload" : each.violations());
        }
        return cases.stream().allMatch(JudgeProof.Case::asExpected)
                        && overloads.stream().allMatch(OverloadProof.Case::asExpected)
                ? 0
                : 1;
    }
}
