package saltdale.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import saltdale.model.DispatcherSettings;
import saltdale.model.Tenant;
import saltdale.model.Workload;

/** Reads the settings message of the wire protocol; unknown keys are ignored. */
public final class SettingsReader {
    private SettingsReader() {}

    /** Reads all settings of a dispatcher; throws {@link MalformedInputException} for an invalid value. */
    public static DispatcherSettings read(JsonFields options) {
        DispatcherSettings settings = new DispatcherSettings();
        settings.dispatcherIndex = options.integer("Index", 0);
        settings.dispatcherCount = Math.max(1, options.integer("NInstances", 1));
        settings.zone = options.string("Locality", "");
        settings.roundInterval = options.duration("Round", Duration.ZERO);
        settings.subscribes = options.string("MembershipMode", "push").equals("ask");
        settings.importanceByWork = options.string("ImportanceBasis", "request").equals("work");
        settings.importanceBeyondShare = options.number("BeyondShareImportance", 1);

        settings.loadBasedWeights = options.oneOf("Weights", "nominal", List.of("silent", "nominal", "rough", "live"))
                .equals("live");

        JsonFields limits = options.object("Limits");
        settings.mayProbe = limits.bool("Probes", false);
        settings.mayCancel = limits.bool("MayCancel", false);
        settings.parallelAttempts = limits.bool("ParallelTries", false);
        settings.peerMessages = limits.bool("PeerMessages", false);
        settings.sendsRetryAfter = limits.bool("RetryAfter", false);
        settings.maxAttempts = limits.integer("MostDispatches", 1);
        settings.maxRetryAfter = limits.duration("MaxRetryAfter", Duration.ZERO);
        settings.idleTimeout = limits.duration("IdleClose", settings.idleTimeout);
        settings.connectTimeout = limits.duration("DialTimeout", Duration.ZERO);

        settings.retriesMarked = options.object("Callers").bool("MarksRetry", false);

        JsonFields contract = options.object("Contract");
        settings.subscribeWithin = contract.duration("AskWithin", settings.subscribeWithin);
        settings.coldCapacity = contract.number("ColdFrom", 1);
        settings.warmUpTime = contract.duration("WarmWithin", Duration.ZERO);
        settings.coldLimitMultiple = contract.number("TipMultiple", 1);
        settings.coldLimitWindow = contract.duration("Fall", Duration.ZERO);
        settings.lateRejections = contract.bool("LateShedding", false);

        settings.goalWeight = options.object("Goal").numberAtLeast("Whole", 1, 0);

        JsonFields tariffs = options.object("Tariffs");
        settings.crossZonePrice = tariffs.numberAtLeast("CrossZone", 0, 0);
        settings.handshakePrice = tariffs.numberAtLeast("Handshake", 0, 0);
        settings.probePrice = tariffs.number("Probe", 0);
        settings.wastePrice = tariffs.number("Waste", 0);

        JsonFields family = options.object("FamilyInfo");
        settings.reportsStart = family.bool("TellsStart", false);
        settings.progressInterval = family.duration("Progress", Duration.ZERO);

        List<String> machineTypes = options.strings("MachineTypes", List.of());
        List<String> zones = options.strings("Zones", List.of());
        int i = 0;
        for (JsonFields row : options.objects("Workloads")) {
            Workload workload = workload(row);
            workload.latencyStretch = row.number("AimStretch", element(family.array("ClassStretch"), i, 0));
            int neededIndex = (int) element(family.array("ClassKind"), i, -1);
            workload.machineTypes.addAll(row.strings("ServedOn", machineTypes));
            workload.zones.addAll(row.strings("ZonesOpen", zones));
            if (neededIndex >= 0 && neededIndex < machineTypes.size()) {
                String needed = machineTypes.get(neededIndex);
                if (!workload.machineTypes.isEmpty() && !workload.machineTypes.contains(needed)) {
                    throw row.invalid("ServedOn", "a list that contains its required machine type, " + needed);
                }
                workload.machineTypes.clear();
                workload.machineTypes.add(needed);
            }
            settings.workloads.add(workload);
            i++;
        }
        for (JsonFields row : options.objects("Projects")) {
            settings.tenants.add(new Tenant(row.string("Name", ""), row.number("Share", 1)));
        }
        return settings;
    }

    private static Workload workload(JsonFields row) {
        Workload workload = new Workload();
        workload.name = row.string("Name", "");
        workload.targetLatency = row.duration("PromisedTime", Duration.ZERO);
        workload.clientTimeout = row.duration("Patience", Duration.ZERO);
        workload.importance = row.number("Importance", 1);
        workload.lateImportance = row.number("TardyImportance", 0);
        workload.streamed = row.bool("Streamed", false);
        workload.dedupWindow = row.duration("Window", Duration.ZERO);
        String repeat = row.string("Repeat", "side_effect");
        workload.repeatSafety = switch (repeat) {
            case "pure" -> Workload.RepeatSafety.PURE;
            case "token" -> Workload.RepeatSafety.RECEIPTED;
            case "side_effect" -> Workload.RepeatSafety.EFFECTFUL;
            default -> throw row.invalid("Repeat", "one of pure, token and side_effect");
        };
        String scope = row.string("DedupScope", "cell");
        workload.dedupScope = switch (scope) {
            case "all" -> Workload.DedupScope.ALL;
            case "zone" -> Workload.DedupScope.ZONE;
            case "cell" -> Workload.DedupScope.CELL;
            default -> throw row.invalid("DedupScope", "one of all, zone and cell");
        };
        return workload;
    }

    private static double element(JsonNode array, int i, double defaultValue) {
        return i < array.size() && array.get(i).isNumber() ? array.get(i).doubleValue() : defaultValue;
    }
}
