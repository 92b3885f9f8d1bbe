package saltdale.model;

/** A tenant and its share of the fleet. */
public final class Tenant {
    public final String name;
    public final double share;

    public Tenant(String name, double share) {
        this.name = name;
        this.share = share;
    }
}
