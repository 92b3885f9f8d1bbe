package saltdale.settings;

import java.util.function.ToDoubleFunction;
import saltdale.model.LoadReport;

/** The column names of load report values in the settings. */
public final class LoadReportColumns {
    private LoadReportColumns() {}

    /** Creates a load report from its values by column name; NaN for a missing value. */
    public static LoadReport toLoadReport(ToDoubleFunction<String> valueOf) {
        return new LoadReport(
                valueOf.applyAsDouble("depth"),
                valueOf.applyAsDouble("concurrent"),
                valueOf.applyAsDouble("x0"),
                valueOf.applyAsDouble("load_share"),
                valueOf.applyAsDouble("err_ps"));
    }
}
