package saltdale.settings;

import java.util.function.ToDoubleFunction;
import saltdale.model.LoadReport;

/** The names under which the settings list the values of a load report. */
public final class LoadReportColumns {
    private LoadReportColumns() {}

    /** A load report from its values by name; NaN for one that is not there. */
    public static LoadReport toLoadReport(ToDoubleFunction<String> valueOf) {
        return new LoadReport(
                valueOf.applyAsDouble("depth"),
                valueOf.applyAsDouble("concurrent"),
                valueOf.applyAsDouble("x0"),
                valueOf.applyAsDouble("load_share"),
                valueOf.applyAsDouble("err_ps"));
    }
}
