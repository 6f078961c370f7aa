/**
 * Escrow of a team's limit: its home divides the limit into allowances, which
 * instances (the holders) use without asking again.
 *
 * For every holder, the home records an upper bound on the work that the holder
 * may have running. A holder raises its allowance only on the answer to its
 * latest request, and lowers it before it reports the lower value. Amounts are
 * absolute, so messages may be lost, duplicated, delayed or reordered: the
 * bound at the home is never below the allowance that the holder uses.
 *
 * @module
 */

/** A holder's report of its allowance and its work. */
export interface Holdings {
  /** Increases with each message of this holder. */
  readonly seq: number;
  /** Maximum of the work started against the allowance, until the answer to this message. */
  readonly hold: number;
  /** Running work that was not started against the allowance. */
  readonly adopted: number;
}

/** A holder's request for a larger allowance. */
export interface AllowanceRequest extends Holdings {
  /** Fence of the home that the request is addressed to. */
  readonly fence: number;
  /** How much more the holder could use now. */
  readonly need: number;
}

/** Answer to a request. */
export interface Grant {
  /** Fence of the answering home. */
  readonly fence: number;
  /** Sequence number of the answered request. */
  readonly seq: number;
  /** Maximum of the work started against the allowance, from now on. */
  readonly hold: number;
}

/** One holder's side of one team's limit. */
export class AllowanceHolder {
  /** Highest fence of a home seen so far. */
  #fence = 0;
  #seq = 0;
  #granted = 0;
  /** Work started against the allowance; never exceeds it. */
  #running = 0;
  /** Other running work. Its completion frees no allowance, as it may have taken the home over the limit. */
  #adopted = 0;
  /** Highest amount that the home may have recorded for this holder. */
  #maxRecordedAtHome = 0;
  /** Adopted work as of the latest message. */
  #reportedAdopted = 0;

  /** Highest fence of a home seen so far. */
  get fence(): number {
    return this.#fence;
  }

  /** Current allowance. */
  get granted(): number {
    return this.#granted;
  }

  /** All work that is running. */
  get running(): number {
    return this.#running + this.#adopted;
  }

  /** Unused part of the allowance. */
  get spare(): number {
    return this.#granted - this.#running;
  }

  /** Whether the home may have recorded more for this holder than it holds. */
  get mayBeOverstated(): boolean {
    return this.#maxRecordedAtHome > this.#granted + this.#adopted;
  }

  /** Counts one started task against the allowance; false if the allowance is used up. */
  tryAcquire(): boolean {
    if (this.#running >= this.#granted) return false;
    this.#running++;
    return true;
  }

  /** Counts running work that was not started against the allowance. */
  adopt(count: number): void {
    this.#adopted += count;
  }

  /** Counts one completed task; adopted work is counted down first. */
  release(): void {
    if (this.#adopted > 0) this.#adopted--;
    else if (this.#running > 0) this.#running--;
  }

  /** Records the fence of a home; false if a newer home was seen before. */
  acceptFence(fence: number): boolean {
    if (fence > this.#fence) this.#fence = fence;
    return fence === this.#fence;
  }

  /** Builds a request for `need` more. Answers to earlier requests are ignored from now on. */
  request(need: number): AllowanceRequest {
    if (need > 0) this.#maxRecordedAtHome = Infinity;
    return { fence: this.#fence, need, ...this.report() };
  }

  /** Builds a report of the holdings. Answers to earlier requests are ignored from now on. */
  report(): Holdings {
    this.#seq++;
    const hold = this.#granted;
    const adopted = this.#adopted;
    this.#reportedAdopted = adopted;
    this.#maxRecordedAtHome = Math.max(this.#maxRecordedAtHome, hold + adopted);
    return { seq: this.#seq, hold, adopted };
  }

  /** Applies an answer; false, with no effect, unless it answers the latest request. */
  accept(grant: Grant): boolean {
    const latest = grant.fence === this.#fence && grant.seq === this.#seq;
    if (!latest) return false;
    this.#granted = grant.hold;
    this.#maxRecordedAtHome = grant.hold + this.#reportedAdopted;
    return true;
  }

  /** Lowers the allowance to `keep`, but not below the work started against it. Returns whether it was lowered. */
  lowerTo(keep: number): boolean {
    const next = Math.min(this.#granted, Math.max(keep, this.#running));
    const lowered = next < this.#granted;
    this.#granted = next;
    if (lowered) this.#seq++;
    return lowered;
  }

  /** Drops the allowance after this instance was declared dead. Its running work counts as adopted. */
  reset(): void {
    this.#adopted += this.#running;
    this.#running = 0;
    this.#granted = 0;
    this.#maxRecordedAtHome = 0;
    this.#seq++;
  }
}

/** The home's side of one team's limit. */
export class AllowanceHome {
  /** Fence of this home's ownership. */
  readonly fence: number;
  #limit: number;
  /** Keyed by the holder's id with the epoch of its membership. */
  readonly #holdings = new Map<string, Holdings>();

  constructor(fence: number, limit: number) {
    this.fence = fence;
    this.#limit = limit;
  }

  /** The team's limit. */
  get limit(): number {
    return this.#limit;
  }

  set limit(limit: number) {
    this.#limit = limit;
  }

  /** Sum of the work that all holders may have running. */
  get totalHeld(): number {
    let sum = 0;
    for (const { hold, adopted } of this.#holdings.values()) {
      sum += hold + adopted;
    }
    return sum;
  }

  /** Amount that can still be granted; negative if the limit was lowered below what is held. */
  get available(): number {
    return this.#limit - this.totalHeld;
  }

  /** All recorded holders. */
  get holders(): readonly string[] {
    return [...this.#holdings.keys()];
  }

  /** Holders with an allowance or adopted work. */
  get activeHolders(): readonly string[] {
    return [...this.#holdings]
      .filter(([, { hold, adopted }]) => hold + adopted > 0)
      .map(([holder]) => holder);
  }

  /** Records a holder's report; a report older than the recorded one is ignored. */
  report(holder: string, holdings: Holdings): void {
    const known = this.#holdings.get(holder);
    if (known !== undefined && holdings.seq <= known.seq) return;
    const { seq, hold, adopted } = holdings;
    this.#holdings.set(holder, { seq, hold, adopted });
  }

  /**
   * Answers a request with the holder's need or with an even share of half the
   * available amount, whichever is more, so that holders don't have to ask for
   * every task. A request without need is only a report. A request older than
   * the recorded one changes nothing; the holder ignores its answer.
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
    const evenShare = Math.floor(available / (2 * Math.max(1, share.holders)));
    const wanted = request.need === 0 ? 0 : Math.max(request.need, evenShare);
    const more = Math.min(available, wanted);
    const { seq, adopted } = request;
    const hold = request.hold + more;
    this.#holdings.set(holder, { seq, hold, adopted });
    return { fence: this.fence, seq, hold };
  }

  /** Frees the amount of a holder whose work is now counted elsewhere. */
  forget(holder: string): void {
    this.#holdings.delete(holder);
  }
}
