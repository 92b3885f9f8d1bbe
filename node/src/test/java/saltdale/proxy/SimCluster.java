package saltdale.proxy;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import saltdale.control.Configuration;
import saltdale.control.Environment;
import saltdale.control.message.Message;

/** Gives tests of transports access to the simulated cluster of the proxy's tests. */
public final class SimCluster {
    private final SimWorld world;

    /** Creates three control nodes, and proxies that serve the first configuration over these transports. */
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

    public void schedule(long nanos, Runnable task) {
        world.schedule(nanos, task);
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

    /** Replaces each message by the result of {@code change}; null drops it. */
    public void rewriteMessages(UnaryOperator<Message> change) {
        world.messageRewriter = (from, to, message) -> change.apply(message);
    }

    /** Runs a task in this process: at once, when the process is resumed if it is frozen, or never if it is dead. */
    public void deliver(Environment process, Runnable task) {
        ((SimMachine.Process) process).deliver(task);
    }

    public boolean isDead(Environment process) {
        return ((SimMachine.Process) process).dead;
    }

    public Proxy proxy(Environment process) {
        return ((SimMachine.Process) process).proxy;
    }

    /** Returns the process of a proxy, or null if the proxy is down, frozen or not ready. */
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

    /** Freezes a proxy for this time. */
    public void freezeFor(int proxy, long millis) {
        SimMachine machine = machine(proxy);
        machine.freeze();
        world.schedule(Environment.millisToNanos(millis), () -> {
            if (machine.frozen) {
                machine.thaw();
            }
        });
    }

    /** Kills a proxy and starts it again after 300 ms. */
    public void restart(int proxy) {
        machine(proxy).kill();
        world.schedule(Environment.millisToNanos(300), machine(proxy)::start);
    }

    /** Shuts a proxy down gracefully and starts it again. */
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

    /** Cuts the power of a control node for 1.5 s. */
    public void powerCycle(int controlNode) {
        SimMachine machine = world.controlNodes.get(controlNode);
        machine.powerOff();
        world.schedule(Environment.millisToNanos(1500), machine::start);
    }

    public boolean acceptsConnections(String instance) {
        SimPlatform.Instance found = world.platform.instances.get(instance);
        return found != null && found.acceptsConnections();
    }

    public int slots(String instance) {
        return world.platform.slots.get(world.platform.instances.get(instance).service);
    }
}
