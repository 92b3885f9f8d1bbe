import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Runs a case: its temporary folder, its record, its deployment, and the end of all its processes. */
final class ReviewCase {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int COULD_NOT_RUN = 2;

    /** The steps of a case. */
    interface Steps {
        /** Returns the exit status; {@code trouble} tells whether the disruption is part of the run. */
        int run(Deployment deployment, Record record, boolean trouble) throws Exception;
    }

    private ReviewCase() {}

    /** Arguments: the repository's root, the folder for temporary files, the file for the record. */
    static void run(String[] arguments, Deployment.Setup setup, Steps steps) throws IOException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory(Path.of(arguments[1]), "review-");
        int status = COULD_NOT_RUN;
        try (Record record = new Record(Path.of(arguments[2]))) {
            record.log(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
            Deployment deployment = new Deployment(Path.of(arguments[0]).toAbsolutePath(), folder, record, setup);
            Thread ending = new Thread(() -> end(deployment, folder));
            Runtime.getRuntime().addShutdownHook(ending);
            try {
                status = steps.run(deployment, record, trouble);
            } catch (Exception e) {
                record.log("could not run: " + e);
            }
            end(deployment, folder);
            record.log("exit status " + status);
        }
        System.exit(status);
    }

    private static void end(Deployment deployment, Path folder) {
        deployment.endProcesses();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            // it has been removed already
        }
    }
}
