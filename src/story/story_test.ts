import test from "ava";
import { parseLogLine, storyOf } from "./story.ts";

const JOB = "00000000000000aa";

function line(time: string, rest: string): string {
  return `time=2026-01-01T00:00:${time}Z level=info node=n1 ${rest}`;
}

const LOG = [
  line("09.000", "event=hold.gained fence=1"),
  line("10.000", `event=job.submitted job=${JOB} outcome=accepted`),
  line("10.100", `event=run.start task=${JOB}.0.0.0 worker=w1 outcome=started`),
  line("10.200", "event=run.start task=00000000000000bb.0.0.0 worker=w2"),
  line("11.000", 'event=worker.silent worker=w1 reason="no answer in time"'),
  line("11.500", "event=worker.silent worker=w2"),
  line("12.000", "event=hold.gained fence=2"),
  line("13.000", `event=job.ended job=${JOB} state=failed`),
  line("14.000", "event=store.lost"),
].reverse();

test("a job's lines in order, with what happened around them", (t) => {
  const lines = LOG.flatMap((text) => parseLogLine(`prefix ${text}`) ?? []);
  t.deepEqual(storyOf(lines, JOB).map(({ event }) => event), [
    "job.submitted",
    "run.start",
    "worker.silent",
    "hold.gained",
    "job.ended",
  ]);
});

test("values in quotes are read as text", (t) => {
  const read = parseLogLine(LOG.find((text) => text.includes("w1 reason"))!);
  t.is(read?.fields["reason"], "no answer in time");
  t.is(read?.node, "n1");
});

test("other text is no line", (t) => {
  t.is(parseLogLine("hello"), undefined);
  t.is(parseLogLine("time=1 node=n"), undefined);
});
