package saltdale.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that a power cut at any point leaves a record store with all synced records, and shows what MVStore alone and
 * MapDB alone lose in the same runs.
 */
class PowerCutTest {
    /** The number of runs; more can be requested manually with -Dstorage.runs=N. */
    private static final int RUN_COUNT = Integer.getInteger("storage.runs", 2);

    @TempDir
    Path folder;

    static MirroredRecordStore open(SimulatedDisk disk) throws RecordStoreException {
        return new MirroredRecordStore(SimulatedDiskPath.mount(disk), disk::syncFolder);
    }

    static SingleStoreRecordStore openSingle(SimulatedDisk disk) throws RecordStoreException {
        return new SingleStoreRecordStore(SimulatedDiskPath.mount(disk), disk::syncFolder);
    }

    private MapDbRecordStore openMapDb(SimulatedDisk disk) throws Exception {
        return new MapDbRecordStore(Files.createTempDirectory(folder, "mapdb"), disk);
    }

    @Test
    void writtenRecordsSurviveEveryPowerCut() throws Exception {
        PowerCutRuns all = null;
        for (int seed = 0; seed < RUN_COUNT; seed++) {
            PowerCutRuns cuts = new PowerCutRuns(PowerCutTest::open, seed, 20_000).run(3, 20, 4);
            assertThat("seed " + seed + ": " + cuts + cuts.examples, cuts.faults, is(anEmptyMap()));
            all = cuts.add(all);
        }
        System.out.println("power cuts: " + all);
    }

    @Test
    void bigRecordsSurviveEveryPowerCut() throws Exception {
        PowerCutRuns cuts = new PowerCutRuns(PowerCutTest::open, 99, 300_000).run(1, 12, 2);
        assertThat(cuts + "" + cuts.examples, cuts.faults, is(anEmptyMap()));
    }

    /**
     * Shows that MVStore alone is not safe.
     * If this test ever fails, the design in "docs/record store.md" can be reconsidered.
     */
    @Test
    void mvStoreAloneLosesWrites() throws Exception {
        PowerCutRuns all = null;
        for (int seed = 0; seed < RUN_COUNT; seed++) {
            all = new PowerCutRuns(PowerCutTest::openSingle, seed, 20_000)
                    .run(3, 20, 4)
                    .add(all);
        }
        System.out.println("MVStore alone: " + all);
        assertThat(all.faults, not(anEmptyMap()));
        assertThat(all.faults.keySet().toString(), containsString("mixed"));
    }

    /** Shows that MapDB is not safe: it does not recover from its log, even if all of it is on the disk. */
    @Test
    void mapDbDoesNotOpenAfterAPowerCutDuringACommit() throws Exception {
        SimulatedDisk newDisk = new SimulatedDisk();
        openMapDb(newDisk).close();
        PowerCutRuns all = null;
        for (int seed = 0; seed < (RUN_COUNT + 3) / 4; seed++) {
            PowerCutRuns cuts = new PowerCutRuns(this::openMapDb, seed, 20_000);
            cuts.firstDisk = new SimulatedDisk(newDisk.currentFiles());
            cuts.injectFailures = false;
            cuts.cutPermille = 80;
            all = cuts.run(1, 6, 1).add(all);
        }
        System.out.println("MapDB: " + all);
        assertThat(all.faults, hasKey("there: could not be opened"));
    }
}
