import test from "ava";
import { ManualClock } from "../clock.ts";
import { LineSink, wholeWriter, type WritePart } from "./line_sink.ts";

/** A reader that blocks each write until it is released. */
class SlowReader {
  readonly texts: string[] = [];
  #done: (() => void) | undefined;

  write = (text: string, done: (error: Error | null) => void): void => {
    this.texts.push(text);
    this.#done = () => done(null);
  };

  release(): void {
    const done = this.#done;
    this.#done = undefined;
    done?.();
  }
}

test("lines for a slow reader are queued up to a limit, without blocking", (t) => {
  const reader = new SlowReader();
  let now = 0;
  const sink = new LineSink(reader.write, () => now);
  for (let i = 0; i < 3_000; i++) {
    now += 10;
    sink.push("run.end", "x".repeat(300));
  }
  t.is(reader.texts.length, 1);
  t.true(sink.dropped > 1_000);
  reader.release();
  t.is(reader.texts.length, 2);
  t.true((reader.texts[1]?.length ?? 0) <= 600 * 1024);
});

test("dropped lines of an event beyond its budget are counted and logged", (t) => {
  const reader = new SlowReader();
  let now = 1_000;
  const sink = new LineSink(reader.write, () => now);
  for (let i = 0; i < 450; i++) sink.push("noise", "noise");
  sink.push("quiet", "quiet");
  t.is(sink.dropped, 50);
  now += 1_000;
  sink.push("quiet", "quiet again");
  reader.release();
  t.regex(reader.texts[1] ?? "", /event=log\.dropped of=noise lines=50/);
  t.regex(reader.texts[1] ?? "", /quiet\n/);
});

test("every byte is written to a pipe that accepts partial writes or is full for a while", async (t) => {
  const clock = new ManualClock();
  const taken: string[] = [];
  let calls = 0;
  const part: WritePart = (bytes, done) => {
    calls++;
    if (calls === 2) {
      done(Object.assign(new Error("full"), { code: "EAGAIN" }), 0);
      return;
    }
    taken.push(bytes.subarray(0, 4).toString());
    done(null, Math.min(4, bytes.length));
  };
  const written = new Promise((resolve) =>
    wholeWriter(part, clock)("a=1\nb=2\nc=3\n", resolve)
  );
  await clock.run(10);
  t.is(await written, null);
  t.is(taken.join(""), "a=1\nb=2\nc=3\n");
});

test("lines of a busy process are written in batches", (t) => {
  const clock = new ManualClock();
  const texts: string[] = [];
  const sink = new LineSink(
    (text, done) => {
      texts.push(text);
      done(null);
    },
    () => clock.monotonic(),
    (delayMs, action) => clock.after(delayMs, action),
  );
  for (let atMs = 0; atMs < 100; atMs++) {
    sink.push("run.end", "line");
    clock.advance(1);
  }
  clock.advance(100);
  t.is(texts.join("").split("\n").length - 1, 100);
  t.true(texts.length <= 7);
});
