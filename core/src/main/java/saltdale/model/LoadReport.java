package saltdale.model;

/** A runner's load report; NaN for a missing value. */
public record LoadReport(double queue, double inFlight, double freeSlots, double busy, double errors) {
    public static final LoadReport NONE = new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
}
