import test from "ava";
import { Metrics } from "./metrics.ts";

/** A line of the text exposition format. */
const LINE =
  /^[a-z_]+(\{[a-z_]+="(\\.|[^"\\\n])*"(,[a-z_]+="(\\.|[^"\\\n])*")*\})? -?[\d.e+-]+$/;

test("each series of a counter has its own sum", (t) => {
  const metrics = new Metrics();
  metrics.count("runs_total", { workload: "a" });
  metrics.count("runs_total", { workload: "a" }, 2);
  metrics.count("runs_total", { workload: "b" });
  t.is(
    metrics.render(),
    'runs_total{workload="a"} 3\nruns_total{workload="b"} 1\n',
  );
});

test("gauges are read when the metrics are rendered", (t) => {
  const metrics = new Metrics();
  let waiting = 1;
  metrics.gauge("waiting", () => waiting);
  waiting = 7;
  t.is(metrics.render(), "waiting 7\n");
});

test("latencies are rendered as percentiles and a count", (t) => {
  const metrics = new Metrics();
  t.is(metrics.percentile("wait", 50), undefined);
  for (let ms = 1; ms <= 100; ms++) metrics.observe("wait", ms);
  const median = metrics.percentile("wait", 50)!;
  t.true(median > 49 && median < 52);
  t.regex(metrics.render(), /^wait_count 100$/m);
  t.regex(metrics.render(), /^wait\{quantile="0.99"\} /m);
});

const latencies = [-5, 0, 1e12, Infinity, NaN];

for (const latency of latencies) {
  test(`a latency out of range is rendered in the text format: ${latency}`, (t) => {
    const metrics = new Metrics();
    metrics.observe("wait", latency);
    t.true(
      metrics.render().split("\n").filter((line) => line !== "")
        .every((line) => LINE.test(line)),
    );
  });
}

const labels = ["", 'a"b', "a\\b", "a\nb", "a{b}", "цаас", "a,b", "\u0001"];

for (const label of labels) {
  test(`label value is escaped: ${JSON.stringify(label)}`, (t) => {
    const metrics = new Metrics();
    metrics.count("c", { label, other: "x" });
    metrics.observe("h", 1, { label });
    const lines = metrics.render().trimEnd().split("\n");
    t.is(lines.length, 6);
    for (const line of lines) t.regex(line, LINE);
  });
}

test("the number of series is limited", (t) => {
  const metrics = new Metrics();
  for (let index = 0; index < 6_000; index++) {
    metrics.count("c", { index: String(index) });
  }
  metrics.count("c", { index: "0" });
  const lines = metrics.render().trimEnd().split("\n");
  t.is(lines.length, 5_000);
  t.true(lines.includes('c{index="0"} 2'));
});
