package saltdale.rig.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;

/** The numeric bounds of the contracts in force, as the nodes get them in their settings and the judge applies them. */
public record Bounds(
        Duration addressReuse,
        Duration contact,
        Duration acknowledge,
        Duration drain,
        Duration grace,
        Duration configApply,
        int limitSlack) {
    /** The bounds that every deployment of the rig uses. */
    public static final Bounds DEFAULTS = new Bounds(
            Duration.ofSeconds(2),
            Duration.ofSeconds(4),
            Duration.ofSeconds(5),
            Duration.ofSeconds(3),
            Duration.ofSeconds(6),
            Duration.ofSeconds(3),
            10);

    ObjectNode json() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("seed_lag_s", 3)
                .put("address_reuse_s", addressReuse.toSeconds())
                .put("contact_ms", contact.toMillis())
                .put("acknowledge_ms", acknowledge.toMillis())
                .put("catch_up_s", 4)
                .put("drain_ms", drain.toMillis())
                .put("grace_s", grace.toSeconds())
                .put("loss_slack_ms", 200)
                .put("config_apply_ms", configApply.toMillis())
                .put("downgrade_slack_ms", 250)
                .put("outer_stretch_ms", 12000)
                .put("retry_budget_ratio", 0.2)
                .put("retry_window_s", 10)
                .put("retry_budget_slack", 52)
                .put("recovery_s", 12)
                .put("limit_slack", limitSlack);
    }
}
