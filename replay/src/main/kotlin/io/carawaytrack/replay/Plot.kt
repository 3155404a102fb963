/*
 * Plot of a replay: p99 latency of answered requests by minute of arrival, one series per policy.
 */
package io.carawaytrack.replay

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.BitmapEncoder.BitmapFormat
import org.knowm.xchart.VectorGraphicsEncoder
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.markers.SeriesMarkers
import java.nio.file.Path

/** Writes the plot of [runs] to [path], as SVG if its name ends in `.svg` and as PNG otherwise. */
internal fun writePlot(
    runs: List<RunResult>,
    path: Path,
) {
    System.setProperty("java.awt.headless", "true")
    val chart = latencyChart(runs)
    if (path.toString().endsWith(".svg")) {
        VectorGraphicsEncoder.saveVectorGraphic(chart, path.toString(), VectorGraphicsFormat.SVG)
    } else {
        BitmapEncoder.saveBitmap(chart, path.toString(), BitmapFormat.PNG)
    }
}

private fun latencyChart(runs: List<RunResult>): XYChart {
    val chart =
        XYChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title("p99 latency by minute of arrival")
            .xAxisTitle("minutes")
            .yAxisTitle("p99 latency, s")
            .build()
    runs.forEach { run ->
        val minutes =
            run.outcomes
                .filter { it.status == OutcomeStatus.Answered }
                .groupBy { it.request.atMillis / MILLIS_PER_MINUTE }
                .toSortedMap()
        val latencies =
            minutes.values.map {
                quantiles(it) { outcome -> outcome.latencyMillis }.p99Millis /
                    MILLIS_PER_SECOND
            }
        chart.addSeries(run.policy, minutes.keys.map { it.toDouble() }, latencies).marker = SeriesMarkers.NONE
    }
    return chart
}

private const val WIDTH_PIXELS = 1_000
private const val HEIGHT_PIXELS = 600
private const val MILLIS_PER_MINUTE = 60_000L
