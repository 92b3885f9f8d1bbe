package saltdale.orders;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import saltdale.model.StandingOrders;
import saltdale.model.Tenant;
import saltdale.model.Workload;

/** Reads the settings of the wire into standing orders; keys it does not know are skipped. */
public final class OrdersReader {
    private OrdersReader() {}

    public static StandingOrders read(Fields options) {
        StandingOrders orders = new StandingOrders();
        orders.index = options.whole("Index", 0);
        orders.dispatchers = Math.max(1, options.whole("NInstances", 1));
        orders.zone = options.text("Locality", "");
        orders.round = options.span("Round", Duration.ZERO);
        orders.mustSubscribe = options.text("MembershipMode", "push").equals("ask");
        orders.importanceByWork = options.text("ImportanceBasis", "request").equals("work");
        orders.beyondShare = options.number("BeyondShareImportance", 1);

        orders.liveWeights = options.word("Weights", "nominal", List.of("silent", "nominal", "rough", "live"))
                .equals("live");

        Fields limits = options.object("Limits");
        orders.probes = limits.flag("Probes", false);
        orders.cancels = limits.flag("MayCancel", false);
        orders.parallel = limits.flag("ParallelTries", false);
        orders.messages = limits.flag("PeerMessages", false);
        orders.pauses = limits.flag("RetryAfter", false);
        orders.mostDispatches = limits.whole("MostDispatches", 1);
        orders.longestPause = limits.span("MaxRetryAfter", Duration.ZERO);
        orders.idleClose = limits.span("IdleClose", orders.idleClose);
        orders.connectTime = limits.span("DialTimeout", Duration.ZERO);

        orders.repeatsMarked = options.object("Callers").flag("MarksRetry", false);

        Fields contract = options.object("Contract");
        orders.askWithin = contract.span("AskWithin", orders.askWithin);
        orders.coldFrom = contract.number("ColdFrom", 1);
        orders.warmWithin = contract.span("WarmWithin", Duration.ZERO);
        orders.tipMultiple = contract.number("TipMultiple", 1);
        orders.fall = contract.span("Fall", Duration.ZERO);
        orders.fullProvesNothing = contract.flag("LateShedding", false);

        orders.whole = options.object("Goal").least("Whole", 1, 0);

        Fields tariffs = options.object("Tariffs");
        orders.crossZonePrice = tariffs.least("CrossZone", 0, 0);
        orders.handshakePrice = tariffs.least("Handshake", 0, 0);
        orders.probePrice = tariffs.number("Probe", 0);
        orders.wastePrice = tariffs.number("Waste", 0);

        Fields family = options.object("FamilyInfo");
        orders.tellsStart = family.flag("TellsStart", false);
        orders.progressEvery = family.span("Progress", Duration.ZERO);

        List<String> kinds = options.texts("MachineTypes", List.of());
        List<String> zones = options.texts("Zones", List.of());
        int i = 0;
        for (Fields row : options.rows("Workloads")) {
            Workload workload = workload(row);
            workload.stretch = row.number("AimStretch", element(family.array("ClassStretch"), i, 0));
            int kind = (int) element(family.array("ClassKind"), i, -1);
            workload.kinds.addAll(row.texts("ServedOn", kinds));
            workload.zones.addAll(row.texts("ZonesOpen", zones));
            if (kind >= 0 && kind < kinds.size()) {
                String needed = kinds.get(kind);
                if (!workload.kinds.isEmpty() && !workload.kinds.contains(needed)) {
                    throw row.wrong("ServedOn", "a list with the kind that it needs, " + needed);
                }
                workload.kinds.clear();
                workload.kinds.add(needed);
            }
            orders.workloads.add(workload);
            i++;
        }
        for (Fields row : options.rows("Projects")) {
            orders.tenants.add(new Tenant(row.text("Name", ""), row.number("Share", 1)));
        }
        return orders;
    }

    private static Workload workload(Fields row) {
        Workload workload = new Workload();
        workload.name = row.text("Name", "");
        workload.promised = row.span("PromisedTime", Duration.ZERO);
        workload.patience = row.span("Patience", Duration.ZERO);
        workload.importance = row.number("Importance", 1);
        workload.lateImportance = row.number("TardyImportance", 0);
        workload.streamed = row.flag("Streamed", false);
        workload.window = row.span("Window", Duration.ZERO);
        String repeat = row.text("Repeat", "side_effect");
        workload.repeat = switch (repeat) {
            case "pure" -> Workload.Repeat.PURE;
            case "token" -> Workload.Repeat.RECEIPTED;
            case "side_effect" -> Workload.Repeat.EFFECTFUL;
            default -> throw row.wrong("Repeat", "one of pure, token and side_effect");
        };
        String scope = row.text("DedupScope", "cell");
        workload.group = switch (scope) {
            case "all" -> Workload.Group.ALL;
            case "zone" -> Workload.Group.ZONE;
            case "cell" -> Workload.Group.CELL;
            default -> throw row.wrong("DedupScope", "one of all, zone and cell");
        };
        return workload;
    }

    private static double element(JsonNode array, int i, double absent) {
        return i < array.size() && array.get(i).isNumber() ? array.get(i).doubleValue() : absent;
    }
}
