package saltdale.rig.report;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler.LegendPosition;
import org.knowm.xchart.style.markers.SeriesMarkers;
import saltdale.rig.experiment.Outcome;
import saltdale.rig.load.Tally;
import saltdale.rig.load.Watch;

/** One page of HTML with its plots inside, to be opened without a network. */
public final class Report {
    private static final int MOST_RUNNERS = 12;  // drawn one by one

    private Report() {
    }

    public static String of(String name, List<Outcome> outcomes) throws IOException {
        StringBuilder page = new StringBuilder();
        page.append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>").append(escape(name))
                .append("</title><style>body{font:15px sans-serif;margin:2em auto;max-width:62em}table{border-collapse:"
                        + "collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}"
                        + "td:first-child,th:first-child{text-align:left}.bad{color:#b00}svg{max-width:100%;"
                        + "height:auto}</style></head><body><h1>").append(escape(name)).append("</h1>");
        table(page, outcomes);
        for (Outcome o : outcomes) {
            if (o.repeat() == 0) {
                run(page, o);
            }
        }
        return page.append("</body></html>\n").toString();
    }

    private static void table(StringBuilder page, List<Outcome> outcomes) {
        page.append("<table><tr><th>run</th><th>service</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th>"
                + "<th>shed</th><th>given up</th><th>CPU us/job</th><th>rules broken</th></tr>");
        for (Outcome o : outcomes) {
            Map<String, Double> f = o.figures();
            page.append("<tr><td>").append(escape(title(o))).append(o.isVoid() == null ? "" : " (void)")
                    .append("</td>");
            cell(page, "%.4f", f.get("service"));
            cell(page, "%.1f", f.get("p50_ms"));
            cell(page, "%.1f", f.get("p99_ms"));
            cell(page, "%.1f", f.get("p999_ms"));
            cell(page, "%.2f%%", 100 * f.get("shed_share"));
            cell(page, "%.2f%%", 100 * f.get("given_up_share"));
            cell(page, "%.0f", f.getOrDefault("cpu_us_per_job", 0.0));
            cell(page, "%.0f", f.get("rules_broken"));
            page.append("</tr>");
        }
        page.append("</table>");
    }

    private static void cell(StringBuilder page, String format, double value) {
        page.append("<td>").append(String.format(Locale.ROOT, format, value)).append("</td>");
    }

    private static String title(Outcome o) {
        return (o.version() + " " + o.point()).strip() + " #" + (o.repeat() + 1);
    }

    private static void run(StringBuilder page, Outcome o) throws IOException {
        page.append("<h2>").append(escape(title(o))).append("</h2>");
        if (o.isVoid() != null) {
            page.append("<p class=\"bad\">Void: ").append(escape(o.isVoid())).append("</p>");
        }
        if (!o.breaches().isEmpty()) {
            page.append("<ul class=\"bad\">");
            o.breaches().stream().limit(20).forEach(b -> page.append("<li>").append(escape(b.toString()))
                    .append("</li>"));
            page.append("</ul>");
        }
        List<Tally.Second> seconds = o.tally().seconds();
        latency(page, seconds);
        service(page, seconds);
        runners(page, o.watch());
        beliefs(page, o.watch());
    }

    private static void latency(StringBuilder page, List<Tally.Second> seconds) throws IOException {
        XYChart chart = chart("Latency from the intended time", "s", "ms");
        chart.getStyler().setYAxisLogarithmic(true);
        for (double percentile : new double[] {50, 90, 99, 100}) {
            List<Double> x = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            for (int i = 0; i < seconds.size(); i++) {
                if (seconds.get(i).latency.getTotalCount() > 0) {
                    x.add((double) i);
                    y.add(Math.max(0.01, seconds.get(i).latency.getValueAtPercentile(percentile) / 1e3));
                }
            }
            add(chart, percentile == 100 ? "most" : String.format(Locale.ROOT, "p%.0f", percentile), x, y);
        }
        draw(page, chart);
    }

    private static void service(StringBuilder page, List<Tally.Second> seconds) throws IOException {
        XYChart chart = chart("Service by workload", "s", "share in the promised time");
        Map<String, List<List<Double>>> lines = new TreeMap<>();
        for (int i = 0; i < seconds.size(); i++) {
            int second = i;
            seconds.get(i).byWorkload.forEach((workload, of) -> {
                List<List<Double>> line = lines.computeIfAbsent(workload,
                        k -> List.of(new ArrayList<>(), new ArrayList<>()));
                line.get(0).add((double) second);
                line.get(1).add((double) of[1] / Math.max(1, of[0]));
            });
        }
        chart.getStyler().setYAxisMin(0.0);
        chart.getStyler().setYAxisMax(1.0);
        lines.forEach((workload, line) -> add(chart, workload, line.get(0), line.get(1)));
        draw(page, chart);
    }

    private static void runners(StringBuilder page, Watch watch) throws IOException {
        XYChart chart = chart("Assignments held by each runner", "s", "assignments");
        for (int i = 0; i < Math.min(MOST_RUNNERS, watch.samples().size()); i++) {
            series(chart, "r" + i, watch.samples().get(i), false);
        }
        draw(page, chart);
    }

    /** The runner whose reports lay furthest from the truth. */
    private static void beliefs(StringBuilder page, Watch watch) throws IOException {
        int worst = -1;
        double most = -1;
        for (int i = 0; i < watch.samples().size(); i++) {
            double off = watch.samples().get(i).stream().filter(s -> !Double.isNaN(s.told()))
                    .mapToDouble(s -> Math.abs(s.told() - s.held())).average().orElse(-1);
            if (off > most) {
                most = off;
                worst = i;
            }
        }
        if (worst < 0) {
            return;
        }
        XYChart chart = chart("What r" + worst + " held, beside what it had last told", "s", "assignments");
        series(chart, "held", watch.samples().get(worst), false);
        series(chart, "told", watch.samples().get(worst), true);
        draw(page, chart);
    }

    private static void series(XYChart chart, String name, List<Watch.Sample> samples, boolean told) {
        List<Double> x = new ArrayList<>();
        List<Double> y = new ArrayList<>();
        Watch.Sample first = samples.isEmpty() ? null : samples.get(0);
        for (Watch.Sample each : samples) {
            double value = told ? each.told() : each.held();
            if (!Double.isNaN(value)) {
                x.add(each.at().minus(first.at()).toNanos() / 1e9);
                y.add(value);
            }
        }
        add(chart, name, x, y);
    }

    private static void add(XYChart chart, String name, List<Double> x, List<Double> y) {
        if (!x.isEmpty()) {
            XYSeries series = chart.addSeries(name, x, y);
            series.setMarker(SeriesMarkers.NONE);
        }
    }

    private static XYChart chart(String title, String x, String y) {
        XYChart chart = new XYChartBuilder().width(900).height(320).title(title).xAxisTitle(x).yAxisTitle(y).build();
        chart.getStyler().setLegendPosition(LegendPosition.OutsideE);
        return chart;
    }

    private static void draw(StringBuilder page, XYChart chart) throws IOException {
        if (chart.getSeriesMap().isEmpty()) {
            return;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsFormat.SVG);
        String svg = out.toString(StandardCharsets.UTF_8);
        page.append("<p>").append(svg.substring(svg.indexOf("<svg"))).append("</p>");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
