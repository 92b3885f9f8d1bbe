package saltdale.model;

/** The machines of one kind: what this dispatcher has learnt of them together. */
public final class MachineTypeStats {
    public final RunTimeRatio runTimeRatio;
    /** The slots of one of them; 0 until a report has told. */
    public double slots;
    /** The greatest weight that a list has given one of them: its size when it holds nothing. */
    public double maxWeight;

    public MachineTypeStats(RunTimeRatio runTimeRatio) {
        this.runTimeRatio = runTimeRatio;
    }

    /**
     * Free slots and jobs in flight add up to its slots; where only the free ones are told, the most seen are a
     * bound.
     */
    public void recordSlots(LoadReport report) {
        if (report.freeSlots() >= 1 && !Double.isNaN(report.inFlight())) {
            double seen = report.freeSlots() + report.inFlight();
            slots = slots == 0 ? seen : slots + (seen - slots) / 16;
        } else if (report.freeSlots() > slots && Double.isNaN(report.inFlight())) {
            slots = report.freeSlots();
        }
    }
}
