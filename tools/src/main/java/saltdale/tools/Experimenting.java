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
        description = "Plays an experiment and gives its verdict: 0 where all that it expects was met, else 1.")
final class Experimenting implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The experiment, TOML.")
    private Path file;

    @Option(names = "--quick", description = "As few repeats as the file's quick_repeats says.")
    private boolean quick;

    @Option(names = "--out", description = "Where results go (default: out/NAME).")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Experiment experiment = Experiment.read(file, Main.home());
        Path folder = out == null ? Path.of("out").resolve(experiment.name().replaceAll("[^A-Za-z0-9._-]+", "-")) : out;
        boolean good = experiment.run(quick, folder, System.out);
        System.out.println("results and report: " + folder);
        return good ? 0 : 1;
    }
}
