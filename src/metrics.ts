/**
 * Counters, gauges and latency histograms of one instance, with a text page.
 *
 * @module
 */
import type { Histogram } from "hdr-histogram-js";
// The whole library, with its codecs, costs every process 9 MB and 40 ms.
import { constructorFromBucketSize } from "hdr-histogram-js/dist/JsHistogramFactory.js";

/** Labels of a series. */
export type Labels = Readonly<Record<string, string>>;

const PERCENTILES = [50, 90, 99, 99.9] as const;
/** Largest latency that a histogram tells apart, microseconds. */
const HIGHEST_MICROS = 3_600_000_000;
/** Smallest one, microseconds. */
const LOWEST_MICROS = 1;
/** Precision of a histogram, decimal digits. */
const SIGNIFICANT_DIGITS = 2;
/** A histogram with counts of 32 bits. */
const Counts = constructorFromBucketSize(32);
/** Most series that are kept; further ones are dropped. */
const MAX_SERIES = 5_000;

/** The metrics of an instance. */
export class Metrics {
  readonly #counters = new Map<string, number>();
  readonly #gauges = new Map<string, () => number>();
  readonly #histograms = new Map<string, Histogram>();

  /** Adds to a counter. */
  count(name: string, labels: Labels = {}, amount = 1): void {
    const key = seriesOf(name, labels);
    const before = this.#counters.get(key);
    if (before === undefined && this.#counters.size >= MAX_SERIES) return;
    this.#counters.set(key, (before ?? 0) + amount);
  }

  /** Registers a gauge that is read when the page is asked for. */
  gauge(name: string, read: () => number): void {
    this.#gauges.set(name, read);
  }

  /** Records a latency. */
  observe(name: string, milliseconds: number, labels: Labels = {}): void {
    const key = seriesOf(name, labels);
    const histogram = this.#histograms.get(key) ?? this.#open(key);
    const micros = Math.round(Math.max(0, milliseconds) * 1000);
    histogram?.recordValue(Math.min(HIGHEST_MICROS, micros));
  }

  /** A percentile of a latency, milliseconds; `undefined` before the first record. */
  percentile(
    name: string,
    percentile: number,
    labels: Labels = {},
  ): number | undefined {
    const histogram = this.#histograms.get(seriesOf(name, labels));
    if (histogram === undefined) return undefined;
    return histogram.getValueAtPercentile(percentile) / 1000;
  }

  /** All series as lines of `name{labels} value`. */
  page(): string {
    const lines: string[] = [];
    for (const [key, value] of this.#counters) lines.push(`${key} ${value}`);
    for (const [name, read] of this.#gauges) lines.push(`${name} ${read()}`);
    for (const [key, histogram] of this.#histograms) {
      lines.push(...linesOf(key, histogram));
    }
    return lines.sort().join("\n") + "\n";
  }

  #open(key: string): Histogram | undefined {
    if (this.#histograms.size >= MAX_SERIES) return undefined;
    const histogram: Histogram = new Counts(
      LOWEST_MICROS,
      HIGHEST_MICROS,
      SIGNIFICANT_DIGITS,
    );
    this.#histograms.set(key, histogram);
    return histogram;
  }
}

function linesOf(key: string, histogram: Histogram): string[] {
  const lines = PERCENTILES.map((percentile) => {
    const series = withLabel(key, `quantile="${percentile / 100}"`);
    return `${series} ${histogram.getValueAtPercentile(percentile) / 1000}`;
  });
  const [name, labels] = splitSeries(key);
  return [...lines, `${name}_count${labels} ${histogram.totalCount}`];
}

function seriesOf(name: string, labels: Labels): string {
  const pairs = Object.entries(labels)
    .map(([label, value]) => `${label}=${JSON.stringify(value)}`);
  return pairs.length === 0 ? name : `${name}{${pairs.join(",")}}`;
}

function splitSeries(key: string): [string, string] {
  const brace = key.indexOf("{");
  return brace < 0 ? [key, ""] : [key.slice(0, brace), key.slice(brace)];
}

function withLabel(key: string, label: string): string {
  const [name, labels] = splitSeries(key);
  const inner = labels.slice(1, -1);
  return `${name}{${inner === "" ? label : `${inner},${label}`}}`;
}
