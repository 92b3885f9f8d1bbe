package saltdale.proxy;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import saltdale.control.Configuration;
import saltdale.control.Environment;
import saltdale.control.message.Message;

/** The simulated cluster of the proxy's tests, for tests of what carries the bytes. */
public final class SimCluster {
    private final SimWorld world;

    /** Control nodes and proxies that serve the first configuration; {@code transports} carry the proxies' bytes. */
    public SimCluster(long seed, int proxies, Function<Environment, Transport> transports) {
        world = new SimWorld(seed);
        world.transports = transports::apply;
        SimOperator.servingCluster(world, 3, proxies);
    }

    public SplittableRandom random() {
        return world.random;
    }

    public long now() {
        return world.now();
    }

    public void schedule(long nanos, Runnable what) {
        world.schedule(nanos, what);
    }

    public void run(long millis) {
        world.run(millis);
    }

    public long randomDelayNanos() {
        return world.randomDelayNanos();
    }

    public List<String> violations() {
        return world.violations;
    }

    public void rewriteMessages(UnaryOperator<Message> change) {
        world.messageRewriter = (from, to, message) -> change.apply(message);
    }

    /** Has this process do it when it can: after it stands still no more, and never where it is dead. */
    public void deliver(Environment process, Runnable what) {
        ((SimMachine.Process) process).deliver(what);
    }

    public boolean isDead(Environment process) {
        return ((SimMachine.Process) process).dead;
    }

    public Proxy proxy(Environment process) {
        return ((SimMachine.Process) process).proxy;
    }

    /** The process of one of the proxies; null where it is down or not ready. */
    public Environment readyProcess(int proxy) {
        SimMachine machine = machine(proxy);
        return machine.proxy() == null || !machine.proxy().isReady() || machine.frozen ? null : machine.process;
    }

    public Configuration.Route route(Environment process, String path) {
        return proxy(process).configuration().route("h.example", path);
    }

    private SimMachine machine(int proxy) {
        return world.proxies.get(proxy);
    }

    /** It stands still for so long. */
    public void freezeFor(int proxy, long millis) {
        SimMachine machine = machine(proxy);
        machine.freeze();
        world.schedule(Environment.millisToNanos(millis), () -> {
            if (machine.frozen) {
                machine.thaw();
            }
        });
    }

    public void restart(int proxy) {
        machine(proxy).kill();
        world.schedule(Environment.millisToNanos(300), machine(proxy)::start);
    }

    /** It is told to end, and starts anew once it has. */
    public void rollingRestart(int proxy) {
        SimMachine machine = machine(proxy);
        if (machine.proxy() == null || machine.frozen) {
            return;
        }
        Proxy ending = machine.proxy();
        ending.shutDown(Environment.millisToNanos(700));
        world.schedule(Environment.millisToNanos(2000), () -> {
            if (machine.proxy() == ending) {
                machine.process.deliver(ending::failOpenRequests);
            }
        });
        world.schedule(Environment.millisToNanos(2100), () -> {
            if (machine.proxy() == ending) {
                restart(proxy);
            }
        });
    }

    public void powerCycle(int controlNode) {
        SimMachine machine = world.controlNodes.get(controlNode);
        machine.powerOff();
        world.schedule(Environment.millisToNanos(1500), machine::start);
    }

    public boolean acceptsConnections(String instance) {
        SimPlatform.Instance at = world.platform.instances.get(instance);
        return at != null && at.acceptsConnections();
    }

    public int slots(String instance) {
        return world.platform.slots.get(world.platform.instances.get(instance).service);
    }
}
