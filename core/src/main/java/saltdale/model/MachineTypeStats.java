package saltdale.model;

/** Statistics of one machine type at one dispatcher. */
public final class MachineTypeStats {
    /** Actual relative to expected run time on these machines. */
    public final RunTimeRatio runTimeRatio;
    /** The number of slots of one machine; 0 until known from a report. */
    public double slots;
    /** The highest weight of such a machine in any runner list: its weight without load. */
    public double maxWeight;

    public MachineTypeStats(RunTimeRatio runTimeRatio) {
        this.runTimeRatio = runTimeRatio;
    }

    /**
     * Estimates the slots from a report: the sum of free slots and jobs in flight, or the most free slots seen where a
     * report carries no jobs in flight.
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
