/**
 * Formatted output of the demo.
 *
 * @module
 */
import process from "node:process";

const NAME_WIDTH = 22;

/** Prints an underlined heading. */
export function printHeading(text: string): void {
  process.stdout.write(`${text}\n${"=".repeat(text.length)}\n`);
}

/** Prints a line with the seconds since the process started. */
export function printLine(text: string): void {
  const seconds = process.uptime().toFixed(1).padStart(5);
  process.stdout.write(`${seconds} s  ${text}\n`);
}

/** Prints a title and named numbers, three per line. */
export function printTable(
  title: string,
  rows: readonly (readonly [string, number])[],
): void {
  printLine(`${title}:`);
  const cells = rows.map(([name, value]) => `${name} ${value}`);
  for (let index = 0; index < cells.length; index += 3) {
    const line = cells.slice(index, index + 3)
      .map((cell) => cell.padEnd(NAME_WIDTH + 2))
      .join("");
    process.stdout.write(`           ${line.trimEnd()}\n`);
  }
}
