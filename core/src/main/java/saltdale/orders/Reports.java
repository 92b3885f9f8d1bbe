package saltdale.orders;

import java.util.function.ToDoubleFunction;
import saltdale.model.LoadReport;

/** The names under which the settings list the values of a load report. */
public final class Reports {
    private Reports() {}

    /** A load report from its values by name; NaN for one that is not there. */
    public static LoadReport of(ToDoubleFunction<String> value) {
        return new LoadReport(
                value.applyAsDouble("depth"),
                value.applyAsDouble("concurrent"),
                value.applyAsDouble("x0"),
                value.applyAsDouble("load_share"),
                value.applyAsDouble("err_ps"));
    }
}
