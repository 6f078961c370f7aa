import test from "ava";
import { LineSink } from "./line_sink.ts";

/** A reader that takes nothing until it is let go. */
class SlowReader {
  readonly texts: string[] = [];
  #done: (() => void) | undefined;

  write = (text: string, done: (error: Error | null) => void): void => {
    this.texts.push(text);
    this.#done = () => done(null);
  };

  go(): void {
    const done = this.#done;
    this.#done = undefined;
    done?.();
  }
}

test("lines wait for a slow reader without blocking, up to a bound", (t) => {
  const reader = new SlowReader();
  let now = 0;
  const sink = new LineSink(reader.write, () => now);
  for (let i = 0; i < 3_000; i++) {
    now += 10;
    sink.push("run.end", "x".repeat(300));
  }
  t.is(reader.texts.length, 1);
  t.true(sink.dropped > 1_000);
  reader.go();
  t.is(reader.texts.length, 2);
  t.true((reader.texts[1]?.length ?? 0) <= 600 * 1024);
});

test("an event beyond its budget is counted and told", (t) => {
  const reader = new SlowReader();
  let now = 1_000;
  const sink = new LineSink(reader.write, () => now);
  for (let i = 0; i < 450; i++) sink.push("noise", "noise");
  sink.push("quiet", "quiet");
  t.is(sink.dropped, 50);
  now += 1_000;
  sink.push("quiet", "quiet again");
  reader.go();
  t.regex(reader.texts[1] ?? "", /event=log\.dropped of=noise lines=50/);
  t.regex(reader.texts[1] ?? "", /quiet\n/);
});
