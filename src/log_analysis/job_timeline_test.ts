import test from "ava";
import { parseLogLine, timelineOf } from "./job_timeline.ts";

const JOB = "00000000000000aa";

function logLine(time: string, rest: string): string {
  return `time=2026-01-01T00:00:${time}Z level=info node=n1 ${rest}`;
}

const LOG = [
  logLine("09.000", "event=hold.gained fence=1"),
  logLine("10.000", `event=job.submitted job=${JOB} outcome=accepted`),
  logLine(
    "10.100",
    `event=run.start task=${JOB}.0.0.0 worker=w1 outcome=started`,
  ),
  logLine("10.200", "event=run.start task=00000000000000bb.0.0.0 worker=w2"),
  logLine("10.900", `event=step.waiting job=${JOB} step=1 reason=noRoom`),
  logLine("11.000", 'event=worker.silent worker=w1 reason="no answer in time"'),
  logLine("11.500", "event=worker.silent worker=w2"),
  logLine("12.000", "event=hold.gained fence=2"),
  logLine("13.000", `event=job.ended job=${JOB} state=failed`),
  logLine("14.000", "event=store.lost"),
].reverse();

test("a timeline has the job's lines in order and the events that affect the job", (t) => {
  const lines = LOG.flatMap((text) => parseLogLine(`prefix ${text}`) ?? []);
  t.deepEqual(timelineOf(lines, JOB).map(({ event }) => event), [
    "job.submitted",
    "run.start",
    "step.waiting",
    "worker.silent",
    "hold.gained",
    "job.ended",
  ]);
});

test("quoted values are unquoted", (t) => {
  const read = parseLogLine(LOG.find((text) => text.includes("w1 reason"))!);
  t.is(read?.fields["reason"], "no answer in time");
  t.is(read?.node, "n1");
});

test("text without a time or an event is not a log line", (t) => {
  t.is(parseLogLine("hello"), undefined);
  t.is(parseLogLine("time=1 node=n"), undefined);
});
