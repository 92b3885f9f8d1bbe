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
    private static final int RUNS = Integer.getInteger("storage.runs", 2);

    @TempDir
    Path folder;

    static MirroredRecordStore open(CutDisk disk) throws RecordStoreException {
        return new MirroredRecordStore(CutPath.mount(disk), disk::syncFolder);
    }

    static SingleStoreRecordStore openSingle(CutDisk disk) throws RecordStoreException {
        return new SingleStoreRecordStore(CutPath.mount(disk), disk::syncFolder);
    }

    private MapDbRecordStore openMapDb(CutDisk disk) throws Exception {
        return new MapDbRecordStore(Files.createTempDirectory(folder, "mapdb"), disk);
    }

    @Test
    void whatWasWrittenOutlastsEveryCut() throws Exception {
        PowerCuts all = null;
        for (int seed = 0; seed < RUNS; seed++) {
            PowerCuts cuts = new PowerCuts(PowerCutTest::open, seed, 20_000).run(3, 20, 4);
            assertThat("seed " + seed + ": " + cuts + cuts.examples, cuts.faults, is(anEmptyMap()));
            all = cuts.plus(all);
        }
        System.out.println("power cuts: " + all);
    }

    @Test
    void bigRecordsOutlastEveryCut() throws Exception {
        PowerCuts cuts = new PowerCuts(PowerCutTest::open, 99, 300_000).run(1, 12, 2);
        assertThat(cuts + "" + cuts.examples, cuts.faults, is(anEmptyMap()));
    }

    /** Guards against trust in MVStore alone: should this one day fail, docs/record store.md may be reconsidered. */
    @Test
    void mvStoreAloneLosesWrites() throws Exception {
        PowerCuts all = null;
        for (int seed = 0; seed < RUNS; seed++) {
            all = new PowerCuts(PowerCutTest::openSingle, seed, 20_000)
                    .run(3, 20, 4)
                    .plus(all);
        }
        System.out.println("MVStore alone: " + all);
        assertThat(all.faults, not(anEmptyMap()));
        assertThat(all.faults.keySet().toString(), containsString("mixed"));
    }

    /** Guards against trust in MapDB: it does not take up its log, even where all of it is on the disk. */
    @Test
    void mapDbDoesNotOpenAfterACutInACommit() throws Exception {
        CutDisk young = new CutDisk();
        openMapDb(young).close();
        PowerCuts all = null;
        for (int seed = 0; seed < (RUNS + 3) / 4; seed++) {
            PowerCuts cuts = new PowerCuts(this::openMapDb, seed, 20_000);
            cuts.start = new CutDisk(young.live());
            cuts.troubles = false;
            cuts.share = 80;
            all = cuts.run(1, 6, 1).plus(all);
        }
        System.out.println("MapDB: " + all);
        assertThat(all.faults, hasKey("there: could not be opened"));
    }
}
