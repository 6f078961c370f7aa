/**
 * A team's upper limit, divided into allowances that instances hold.
 *
 * The home of a team keeps, for every holder, an upper bound on what that
 * holder may have running. A holder raises its allowance only by an answer to
 * its latest request, and lowers it before it says so. Amounts are absolute,
 * so messages may be lost, doubled, late or crossed: the bound at the home is
 * never below what the holder relies on.
 *
 * @module
 */

/** What a holder says of itself. */
export interface Holdings {
  /** Grows with each message of this holder. */
  readonly seq: number;
  /** Most work that it may start and have running until the answer to this message. */
  readonly hold: number;
  /** Work that it has running besides. */
  readonly adopted: number;
}

/** A holder's request. */
export interface AllowanceRequest extends Holdings {
  /** Fence of the home that it is meant for. */
  readonly fence: number;
  /** How much more it could use right now. */
  readonly need: number;
}

/** Answer to a request. */
export interface Grant {
  readonly fence: number;
  /** The request that is answered. */
  readonly seq: number;
  /** Most work that the holder may start and have running from now on. */
  readonly hold: number;
}

/** One holder's side of one team's limit. */
export class AllowanceHolder {
  /** Fence of the newest home that this holder has heard of. */
  #fence = 0;
  #seq = 0;
  #granted = 0;
  /** Work that was started against the allowance; never more than it. */
  #running = 0;
  /** Work that was not. Its end frees nothing here, as the home may be over the limit because of it. */
  #adopted = 0;
  /** Most that the home may think that this holder holds. */
  #thought = 0;
  /** Adopted work in the latest message. */
  #reported = 0;

  get fence(): number {
    return this.#fence;
  }

  get granted(): number {
    return this.#granted;
  }

  /** All work that is running. */
  get running(): number {
    return this.#running + this.#adopted;
  }

  /** Room for further work. */
  get spare(): number {
    return this.#granted - this.#running;
  }

  /** Whether the home may think that this holder holds more than it does. */
  get overstated(): boolean {
    return this.#thought > this.#granted + this.#adopted;
  }

  /** Takes one from the allowance in hand. */
  tryTake(): boolean {
    if (this.#running >= this.#granted) return false;
    this.#running++;
    return true;
  }

  /** Counts work that runs without having been taken from the allowance. */
  adopt(count: number): void {
    this.#adopted += count;
  }

  /** Work has ended. */
  give(): void {
    if (this.#adopted > 0) this.#adopted--;
    else if (this.#running > 0) this.#running--;
  }

  /** Hears of a home; gives whether it is the newest. */
  obey(fence: number): boolean {
    if (fence > this.#fence) this.#fence = fence;
    return fence === this.#fence;
  }

  /** Asks for more. Answers to earlier requests no longer count. */
  request(need: number): AllowanceRequest {
    if (need > 0) this.#thought = Infinity;
    return { fence: this.#fence, need, ...this.report() };
  }

  /** Says what it holds. Answers to earlier requests no longer count. */
  report(): Holdings {
    this.#seq++;
    const hold = this.#granted;
    const adopted = this.#adopted;
    this.#reported = adopted;
    this.#thought = Math.max(this.#thought, hold + adopted);
    return { seq: this.#seq, hold, adopted };
  }

  /** Takes an answer; gives whether it was to the latest request. */
  accept(grant: Grant): boolean {
    const latest = grant.fence === this.#fence && grant.seq === this.#seq;
    if (!latest) return false;
    this.#granted = grant.hold;
    this.#thought = grant.hold + this.#reported;
    return true;
  }

  /** Lowers the allowance to what was started against it or to `keep`, whichever is more; gives whether it was lowered. */
  lowerTo(keep: number): boolean {
    const next = Math.min(this.#granted, Math.max(keep, this.#running));
    const lowered = next < this.#granted;
    this.#granted = next;
    if (lowered) this.#seq++;
    return lowered;
  }

  /** Drops the allowance, as this instance was taken for dead. Its work is counted on. */
  reset(): void {
    this.#adopted += this.#running;
    this.#running = 0;
    this.#granted = 0;
    this.#thought = 0;
    this.#seq++;
  }
}

/** The home's side of one team's limit. */
export class AllowanceHome {
  readonly fence: number;
  #limit: number;
  /** By holder: its id with the epoch of its membership. */
  readonly #holdings = new Map<string, Holdings>();

  constructor(fence: number, limit: number) {
    this.fence = fence;
    this.#limit = limit;
  }

  get limit(): number {
    return this.#limit;
  }

  set limit(limit: number) {
    this.#limit = limit;
  }

  /** Sum of what holders may have running. */
  get held(): number {
    let sum = 0;
    for (const { hold, adopted } of this.#holdings.values()) {
      sum += hold + adopted;
    }
    return sum;
  }

  /** What may still be granted; negative after the limit was lowered. */
  get available(): number {
    return this.#limit - this.held;
  }

  /** Holders in the books. */
  get holders(): readonly string[] {
    return [...this.#holdings.keys()];
  }

  /** Holders that hold something. */
  get holding(): readonly string[] {
    return [...this.#holdings]
      .filter(([, { hold, adopted }]) => hold + adopted > 0)
      .map(([holder]) => holder);
  }

  /** Takes note of what a holder holds; older messages change nothing. */
  report(holder: string, holdings: Holdings): void {
    const known = this.#holdings.get(holder);
    if (known !== undefined && holdings.seq <= known.seq) return;
    const { seq, hold, adopted } = holdings;
    this.#holdings.set(holder, { seq, hold, adopted });
  }

  /**
   * Answers a request: what the holder needs, and while plenty is left an even
   * part of half of it. A request that needs nothing is only a report. The
   * answer to a request that was overtaken is void.
   */
  grant(
    holder: string,
    request: AllowanceRequest,
    share: { readonly holders: number },
  ): Grant {
    const known = this.#holdings.get(holder);
    if (known !== undefined && request.seq <= known.seq) {
      return { fence: this.fence, seq: known.seq, hold: known.hold };
    }
    this.report(holder, request);
    const available = Math.max(0, this.available);
    const generous = Math.floor(available / (2 * Math.max(1, share.holders)));
    const wanted = request.need === 0 ? 0 : Math.max(request.need, generous);
    const more = Math.min(available, wanted);
    const { seq, adopted } = request;
    const hold = request.hold + more;
    this.#holdings.set(holder, { seq, hold, adopted });
    return { fence: this.fence, seq, hold };
  }

  /** Returns what a holder held whose work is accounted for elsewhere. */
  forget(holder: string): void {
    this.#holdings.delete(holder);
  }
}
