package saltdale.control;

/** A machine that runs instances, as reported by the platform, with an estimate of the memory that is free on it. */
final class Worker {
    final String name;
    final String zone;
    final boolean ready;
    final double memoryMb;
    /** Free memory after the starts that the platform may not show yet. */
    double freeMb;

    Worker(String name, String zone, boolean ready, double memoryMb, double freeMb) {
        this.name = name;
        this.zone = zone;
        this.ready = ready;
        this.memoryMb = memoryMb;
        this.freeMb = freeMb;
    }

    boolean hasRoomFor(Configuration.Service service) {
        return ready && freeMb >= service.memoryMb();
    }
}
