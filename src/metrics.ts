/**
 * Counters, gauges and latency histograms of one instance, rendered in a
 * text exposition format.
 *
 * @module
 */
import type { Histogram } from "hdr-histogram-js";
// Importing the whole library with its codecs would add 9 MB and 40 ms to the start of every process.
import { constructorFromBucketSize } from "hdr-histogram-js/dist/JsHistogramFactory.js";

/** Labels of a time series. */
export type Labels = Readonly<Record<string, string>>;

const PERCENTILES = [50, 90, 99, 99.9] as const;
/** Largest latency that a histogram resolves, microseconds; larger ones are recorded as this value. */
const MAX_LATENCY_MICROS = 3_600_000_000;
/** Smallest latency that a histogram resolves, microseconds. */
const MIN_LATENCY_MICROS = 1;
/** Precision of a histogram, significant decimal digits. */
const SIGNIFICANT_DIGITS = 2;
/** Histogram class with 32-bit counters. */
const Histogram32 = constructorFromBucketSize(32);
/** Largest number of counters, and of histograms; further series are dropped. */
const MAX_SERIES = 5_000;

/** The metrics of an instance. */
export class Metrics {
  readonly #counters = new Map<string, number>();
  readonly #gauges = new Map<string, () => number>();
  readonly #histograms = new Map<string, Histogram>();

  /** Adds to a counter. */
  count(name: string, labels: Labels = {}, amount = 1): void {
    const key = seriesKey(name, labels);
    const current = this.#counters.get(key);
    if (current === undefined && this.#counters.size >= MAX_SERIES) return;
    this.#counters.set(key, (current ?? 0) + amount);
  }

  /** Registers a gauge; `read` is called whenever the metrics are rendered. */
  gauge(name: string, read: () => number): void {
    this.#gauges.set(name, read);
  }

  /** Records a latency in a histogram. */
  observe(name: string, milliseconds: number, labels: Labels = {}): void {
    const key = seriesKey(name, labels);
    const histogram = this.#histograms.get(key) ?? this.#createHistogram(key);
    const micros = Math.round(Math.max(0, milliseconds) * 1000);
    histogram?.recordValue(Math.min(MAX_LATENCY_MICROS, micros));
  }

  /** A percentile (0 to 100) of the recorded latencies, milliseconds; `undefined` if none is recorded. */
  percentile(
    name: string,
    percentile: number,
    labels: Labels = {},
  ): number | undefined {
    const histogram = this.#histograms.get(seriesKey(name, labels));
    if (histogram === undefined) return undefined;
    return histogram.getValueAtPercentile(percentile) / 1000;
  }

  /** Renders all series, sorted, as lines of `name{labels} value`. */
  render(): string {
    const lines: string[] = [];
    for (const [key, value] of this.#counters) lines.push(`${key} ${value}`);
    for (const [name, read] of this.#gauges) lines.push(`${name} ${read()}`);
    for (const [key, histogram] of this.#histograms) {
      lines.push(...formatHistogram(key, histogram));
    }
    return lines.sort().join("\n") + "\n";
  }

  #createHistogram(key: string): Histogram | undefined {
    if (this.#histograms.size >= MAX_SERIES) return undefined;
    const histogram: Histogram = new Histogram32(
      MIN_LATENCY_MICROS,
      MAX_LATENCY_MICROS,
      SIGNIFICANT_DIGITS,
    );
    this.#histograms.set(key, histogram);
    return histogram;
  }
}

function formatHistogram(key: string, histogram: Histogram): string[] {
  const lines = PERCENTILES.map((percentile) => {
    const series = addLabel(key, `quantile="${percentile / 100}"`);
    return `${series} ${histogram.getValueAtPercentile(percentile) / 1000}`;
  });
  const [name, labels] = splitSeriesKey(key);
  return [...lines, `${name}_count${labels} ${histogram.totalCount}`];
}

function seriesKey(name: string, labels: Labels): string {
  const pairs = Object.entries(labels)
    .map(([label, value]) => `${label}=${JSON.stringify(value)}`);
  return pairs.length === 0 ? name : `${name}{${pairs.join(",")}}`;
}

function splitSeriesKey(key: string): [string, string] {
  const brace = key.indexOf("{");
  return brace < 0 ? [key, ""] : [key.slice(0, brace), key.slice(brace)];
}

function addLabel(key: string, label: string): string {
  const [name, labels] = splitSeriesKey(key);
  const inner = labels.slice(1, -1);
  return `${name}{${inner === "" ? label : `${inner},${label}`}}`;
}
