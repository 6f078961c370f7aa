/**
 * What the demo prints.
 *
 * @module
 */
import process from "node:process";

const NAME_WIDTH = 22;

/** Prints a heading. */
export function heading(text: string): void {
  process.stdout.write(`${text}\n${"=".repeat(text.length)}\n`);
}

/** Prints one sentence with the time since the start. */
export function say(text: string): void {
  const seconds = process.uptime().toFixed(1).padStart(5);
  process.stdout.write(`${seconds} s  ${text}\n`);
}

/** Prints a title with named numbers under it. */
export function table(
  title: string,
  rows: readonly (readonly [string, number])[],
): void {
  say(`${title}:`);
  const cells = rows.map(([name, value]) => `${name} ${value}`);
  for (let index = 0; index < cells.length; index += 3) {
    const line = cells.slice(index, index + 3)
      .map((cell) => cell.padEnd(NAME_WIDTH + 2))
      .join("");
    process.stdout.write(`           ${line.trimEnd()}\n`);
  }
}
