/**
 * The output of a bench: one key=value line for each figure.
 *
 * @module
 */

/** Collects figures and missed targets. */
export class Results {
  readonly #missed: string[] = [];

  /** Prints one figure. */
  line(key: string, value: number | string): void {
    console.log(`${key}=${typeof value === "number" ? rounded(value) : value}`);
  }

  /** Prints a figure that has to be at most `limit`. */
  atMost(key: string, value: number, limit: number): void {
    this.#target(key, { value, limit, met: value <= limit });
  }

  /** Prints a figure that has to be at least `limit`. */
  atLeast(key: string, value: number, limit: number): void {
    this.#target(key, { value, limit, met: value >= limit });
  }

  /** Prints which targets were missed. */
  end(): void {
    this.line("missed", this.#missed.join(",") || "none");
  }

  #target(
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

function rounded(value: number): string {
  return Number.isInteger(value) ? `${value}` : value.toPrecision(4);
}
