package saltdale.model;

/** A customer and its share of the fleet; the quota is assignments a second over all dispatchers. */
public record Tenant(String name, double share, double quota) {
}
