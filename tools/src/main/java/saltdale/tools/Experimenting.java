package saltdale.tools;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import saltdale.rig.experiment.Experiment;

@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description = "Runs an experiment and prints its verdict; exits with 0 if all expectations are met, else 1.")
final class Experimenting implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The experiment (TOML).")
    private Path file;

    @Option(names = "--quick", description = "Runs only as many repeats as quick_repeats in the file says.")
    private boolean quick;

    @Option(names = "--out", description = "Folder for the results (default: out/NAME).")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Experiment experiment = Experiment.read(file, Main.home());
        Path folder = out == null ? Path.of("out").resolve(experiment.name().replaceAll("[^A-Za-z0-9._-]+", "-")) : out;
        boolean passed = experiment.run(quick, folder, System.out);
        System.out.println("results and report: " + folder);
        return passed ? 0 : 1;
    }
}
