package saltdale.rig.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler.LegendPosition;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** The report of an experiment: a self-contained HTML page with embedded plots. */
public final class Report {
    private static final int MAX_PLOTTED_RUNNERS = 12; // each has its own line
    private static final int MAX_PLOTTED_RUNS = 6; // more plots, as of a sweep, make the page too large to open
    private static final double OVERLOAD_THRESHOLD = 0.99;
    private static final Pattern LOAD_PATTERN = Pattern.compile("load\\.utilisation=([0-9.]+)");

    private Report() {}

    /** Renders the results of an experiment, in the format of results.json. */
    public static String of(JsonNode results) throws IOException {
        String name = results.path("name").asText();
        StringBuilder page = new StringBuilder();
        page.append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escape(name))
                .append("</title><style>body{font:15px sans-serif;margin:2em auto;max-width:62em}table{border-collapse:"
                        + "collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}"
                        + "td:first-child,th:first-child{text-align:left}.bad{color:#b00}svg{max-width:100%;"
                        + "height:auto}</style></head><body><h1>")
                .append(escape(name))
                .append("</h1>");
        table(page, results.path("runs"));
        overload(page, results.path("runs"));
        int plotted = 0;
        for (JsonNode run : results.path("runs")) {
            if (run.path("repeat").asInt() == 0 && plotted++ < MAX_PLOTTED_RUNS) {
                run(page, run);
            }
        }
        if (plotted > MAX_PLOTTED_RUNS) {
            page.append("<p>").append(plotted - MAX_PLOTTED_RUNS).append(" more runs are in results.json.</p>");
        }
        return page.append("</body></html>\n").toString();
    }

    private static void table(StringBuilder page, JsonNode runs) {
        page.append("<table><tr><th>run</th><th>service</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th>"
                + "<th>shed</th><th>given up</th><th>CPU us/job</th><th>rules broken</th></tr>");
        for (JsonNode run : runs) {
            JsonNode f = run.path("figures");
            page.append("<tr><td>")
                    .append(escape(title(run)))
                    .append(run.path("void").isNull() ? "" : " (void)")
                    .append("</td>");
            cell(page, "%.4f", f.path("service").asDouble());
            cell(page, "%.1f", f.path("p50_ms").asDouble());
            cell(page, "%.1f", f.path("p99_ms").asDouble());
            cell(page, "%.1f", f.path("p999_ms").asDouble());
            cell(page, "%.2f%%", 100 * f.path("shed_share").asDouble());
            cell(page, "%.2f%%", 100 * f.path("given_up_share").asDouble());
            cell(page, "%.0f", f.path("cpu_us_per_job").asDouble());
            cell(page, "%.0f", f.path("rules_broken").asDouble());
            page.append("</tr>");
        }
        page.append("</table>");
    }

    /** Renders the overload figures, if the load exceeded the capacity or had a peak. */
    private static void overload(StringBuilder page, JsonNode runs) throws IOException {
        boolean isOverloaded = false;
        Map<String, Map<Double, List<Double>>> byLoad =
                new LinkedHashMap<>(); // importance served in time, by version and load
        for (JsonNode run : runs) {
            JsonNode f = run.path("figures");
            isOverloaded |= f.path("could_be_had").asDouble(1) < OVERLOAD_THRESHOLD || f.has("in_peak");
            Matcher load = LOAD_PATTERN.matcher(run.path("point").asText());
            if (load.find()) {
                double times = Double.parseDouble(load.group(1));
                byLoad.computeIfAbsent(run.path("version").asText(), k -> new TreeMap<>())
                        .computeIfAbsent(times, k -> new ArrayList<>())
                        .add(f.path("service").asDouble());
                byLoad.computeIfAbsent("could be had", k -> new TreeMap<>())
                        .computeIfAbsent(times, k -> new ArrayList<>())
                        .add(f.path("could_be_had").asDouble());
            }
        }
        if (!isOverloaded) {
            return;
        }
        page.append("<h2>Overload</h2><table><tr><th>run</th><th>service</th><th>could be had</th><th>of it</th>"
                + "<th>spread of shed worth</th><th>dispatches a request</th><th>probes' share</th><th>before the peak"
                + "</th><th>in it</th><th>after 5 s</th><th>back after s</th></tr>");
        for (JsonNode run : runs) {
            JsonNode f = run.path("figures");
            page.append("<tr><td>").append(escape(title(run))).append("</td>");
            for (String figure : List.of(
                    "service",
                    "could_be_had",
                    "of_could_be_had",
                    "shed_spread",
                    "dispatches_per_request",
                    "probe_share",
                    "before_peak",
                    "in_peak",
                    "after_5s",
                    "back_after_s")) {
                if (f.path(figure).isNumber()) {
                    cell(
                            page,
                            figure.equals("probe_share") ? "%.4f" : "%.3f",
                            f.path(figure).asDouble());
                } else {
                    page.append("<td></td>");
                }
            }
            page.append("</tr>");
        }
        page.append("</table>");
        if (!byLoad.isEmpty()) {
            XYChart chart = chart("Worth in time by load", "load beside the fleet", "share of the worth asked for");
            chart.getStyler().setYAxisMin(0.0);
            chart.getStyler().setYAxisMax(1.0);
            byLoad.forEach((name, points) -> chart.addSeries(
                    name,
                    points.keySet().stream().mapToDouble(x -> x).toArray(),
                    points.values().stream()
                            .mapToDouble(all ->
                                    all.stream().mapToDouble(y -> y).average().orElse(0))
                            .toArray()));
            appendChart(page, chart);
        }
    }

    private static void cell(StringBuilder page, String format, double value) {
        page.append("<td>").append(String.format(Locale.ROOT, format, value)).append("</td>");
    }

    private static String title(JsonNode run) {
        return (run.path("version").asText() + " " + run.path("point").asText()).strip() + " #"
                + (run.path("repeat").asInt() + 1);
    }

    private static void run(StringBuilder page, JsonNode run) throws IOException {
        page.append("<h2>").append(escape(title(run))).append("</h2>");
        if (!run.path("void").isNull()) {
            page.append("<p class=\"bad\">Void: ")
                    .append(escape(run.path("void").asText()))
                    .append("</p>");
        }
        if (!run.path("breaches").isEmpty()) {
            page.append("<ul class=\"bad\">");
            for (int i = 0; i < Math.min(20, run.path("breaches").size()); i++) {
                page.append("<li>")
                        .append(escape(run.path("breaches").get(i).asText()))
                        .append("</li>");
            }
            page.append("</ul>");
        }
        JsonNode series = run.path("series");
        XYChart latency = chart("Latency from the intended time", "s", "ms");
        latency.getStyler().setYAxisLogarithmic(true);
        series.path("latency_ms").fields().forEachRemaining(e -> add(latency, e.getKey(), e.getValue(), 1, 0.01));
        appendChart(page, latency);
        XYChart service = chart("Service by workload", "s", "share in the promised time");
        service.getStyler().setYAxisMin(0.0);
        service.getStyler().setYAxisMax(1.0);
        series.path("service").fields().forEachRemaining(e -> add(service, e.getKey(), e.getValue(), 1, 0));
        appendChart(page, service);
        XYChart inFlight = chart("Assignments held by each runner", "s", "assignments");
        for (int i = 0; i < Math.min(MAX_PLOTTED_RUNNERS, series.path("runners").size()); i++) {
            add(inFlight, "r" + i, series.path("runners").get(i), 1, 0);
        }
        appendChart(page, inFlight);
        reportAccuracy(page, series.path("runners"));
    }

    /** Plots the runner whose load reports deviated most from its actual load. */
    private static void reportAccuracy(StringBuilder page, JsonNode runners) throws IOException {
        int worstRunner = -1;
        double maxDeviation = -1;
        for (int i = 0; i < runners.size(); i++) {
            double deviation = 0;
            int count = 0;
            for (JsonNode sample : runners.get(i)) {
                if (sample.get(2).asDouble() >= 0) {
                    deviation +=
                            Math.abs(sample.get(2).asDouble() - sample.get(1).asDouble());
                    count++;
                }
            }
            if (count > 0 && deviation / count > maxDeviation) {
                maxDeviation = deviation / count;
                worstRunner = i;
            }
        }
        if (worstRunner >= 0) {
            XYChart chart = chart("Actual and last reported load of r" + worstRunner, "s", "assignments");
            add(chart, "held", runners.get(worstRunner), 1, 0);
            add(chart, "told", runners.get(worstRunner), 2, 0);
            appendChart(page, chart);
        }
    }

    /**
     * Adds a line of samples, each an array whose first element is the time; {@code column} is the index of the value.
     */
    private static void add(XYChart chart, String name, JsonNode samples, int column, double least) {
        List<Double> x = new ArrayList<>();
        List<Double> y = new ArrayList<>();
        for (JsonNode sample : samples) {
            if (sample.get(column).asDouble() >= 0) {
                x.add(sample.get(0).asDouble());
                y.add(Math.max(least, sample.get(column).asDouble()));
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
        XYChart chart = new XYChartBuilder()
                .width(900)
                .height(320)
                .title(title)
                .xAxisTitle(x)
                .yAxisTitle(y)
                .build();
        chart.getStyler().setLegendPosition(LegendPosition.OutsideE);
        return chart;
    }

    private static void appendChart(StringBuilder page, XYChart chart) throws IOException {
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
