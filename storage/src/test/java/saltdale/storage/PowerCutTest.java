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
 * What a loss of power leaves of a record store, and what it leaves of one that is kept by MVStore or by MapDB
 * alone.
 */
class PowerCutTest {
    /** How many runs; more by hand, with -Dvault.runs=N. */
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

    /** Guards against trust in MVStore alone: should this one day fail, docs/record store.md may be reconsidered. */
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

    /** Guards against trust in MapDB: it does not take up its log, even where all of it is on the disk. */
    @Test
    void mapDbDoesNotOpenAfterAPowerCutDuringACommit() throws Exception {
        SimulatedDisk young = new SimulatedDisk();
        openMapDb(young).close();
        PowerCutRuns all = null;
        for (int seed = 0; seed < (RUN_COUNT + 3) / 4; seed++) {
            PowerCutRuns cuts = new PowerCutRuns(this::openMapDb, seed, 20_000);
            cuts.firstDisk = new SimulatedDisk(young.currentFiles());
            cuts.injectFailures = false;
            cuts.cutPermille = 80;
            all = cuts.run(1, 6, 1).add(all);
        }
        System.out.println("MapDB: " + all);
        assertThat(all.faults, hasKey("there: could not be opened"));
    }
}
