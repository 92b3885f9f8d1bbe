package saltdale.control;

/** A machine that runs instances, as the platform tells, with the memory that is left on it. */
final class Worker {
    final String name;
    final String zone;
    final boolean ready;
    final double memoryMb;
    /** What is free after the starts that the platform may not show yet. */
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
