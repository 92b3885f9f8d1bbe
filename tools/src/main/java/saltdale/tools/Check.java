package saltdale.tools;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import saltdale.rig.experiment.Experiment;

@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Validates experiment and day files without running them.")
final class Check implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", arity = "1..*")
    private Path[] files;

    @Override
    public Integer call() {
        for (Path file : files) {
            Experiment.check(file, Main.home());
            System.out.println(file + ": good");
        }
        return 0;
    }
}
