/**
 * Output of a benchmark: one key=value line per figure.
 *
 * @module
 */

/** Prints figures and collects the missed targets. */
export class Results {
  readonly #missed: string[] = [];

  /** Prints a figure without a target. */
  line(key: string, value: number | string): void {
    console.log(`${key}=${typeof value === "number" ? format(value) : value}`);
  }

  /** Prints a figure with its target: at most `limit`. */
  atMost(key: string, value: number, limit: number): void {
    this.#printWithTarget(key, { value, limit, met: value <= limit });
  }

  /** Prints a figure with its target: at least `limit`. */
  atLeast(key: string, value: number, limit: number): void {
    this.#printWithTarget(key, { value, limit, met: value >= limit });
  }

  /** Prints the keys of the missed targets, or `none`. */
  end(): void {
    this.line("missed", this.#missed.join(",") || "none");
  }

  #printWithTarget(
    key: string,
    outcome: {
      readonly value: number;
      readonly limit: number;
      readonly met: boolean;
    },
  ): void {
    this.line(key, outcome.value);
    this.line(`${key}_target`, outcome.limit);
    if (!outcome.met) this.#missed.push(key);
  }
}

function format(value: number): string {
  return Number.isInteger(value) ? `${value}` : value.toPrecision(4);
}
