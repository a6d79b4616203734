/**
 * Determines the holder of a duty from its records. All readers of a stream get the same result.
 */
import type { FencingNumber, IncarnationId, InstanceId, Offset } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';

import {
  type Claim,
  type ClaimUpdate,
  type DutyName,
  type DutyRecord,
  NO_CLAIM,
  parseDutyRecord,
} from './records';

const MAX_BUFFERED_RECORDS = 1_024;

/**
 * What a record changed for the duty. `void`: the record breaks the rules and has no effect;
 * `undecided`: the reader doesn't know enough yet; `unrelated`: it isn't a record of this duty or
 * was read before.
 */
export type DutyRecordEffect =
  'claimed' | 'renewed' | 'released' | 'void' | 'undecided' | 'unrelated';

/** The last valid claim of a duty. */
export interface CurrentClaim {
  /** The claim's offset, or -1 when the duty was never claimed. */
  readonly claim: FencingNumber;
  /** Undefined when the claim precedes the first record read and wasn't renewed since. */
  readonly holder: InstanceId | undefined;
  readonly incarnation: IncarnationId | undefined;
  readonly isReleased: boolean;
  /**
   * The offset of the last record about the claim: itself, a renewal or a release. Undefined when
   * none was read.
   */
  readonly lastRecordOffset: Offset | undefined;
}

const UNCLAIMED: CurrentClaim = {
  claim: NO_CLAIM,
  holder: undefined,
  incarnation: undefined,
  isReleased: false,
  lastRecordOffset: undefined,
};

/**
 * Tracks the current claim of one duty from the records of the duty's stream, applied in order.
 *
 * A claim is valid iff its `after` is the offset of the last valid claim. A claim with `after` -1
 * is valid iff neither the last valid claim nor a record that names it has an offset at or after
 * the claim's own `through`. A renewal or release is valid iff it names the current claim and that
 * claim wasn't released before.
 *
 * A reader that starts after trimmed records doesn't know the current claim at first. It infers the
 * claim from the first record whose `through` isn't before the reader's start: its author knew
 * the current claim at `through`, and the reader evaluates all later records from there.
 */
export class ClaimTracker {
  readonly duty: DutyName;

  #first: Offset | undefined;

  #next: Offset | undefined;

  #current: CurrentClaim | undefined;

  #buffer: DutyRecord[] = [];

  /** @param duty - the duty; records of other duties are ignored */
  constructor(duty: DutyName) {
    this.duty = duty;
  }

  /** The offset from which every record was read, or undefined before the first record. */
  get first(): Offset | undefined {
    return this.#first;
  }

  /** The offset to read next, or undefined before the first record. */
  get next(): Offset | undefined {
    return this.#next;
  }

  /** The current claim, or undefined while it isn't known. */
  get current(): CurrentClaim | undefined {
    return this.#current;
  }

  /** Tells whether a claim is the current one; false while that isn't known. */
  isCurrent(claim: FencingNumber): boolean {
    return claim !== NO_CLAIM && this.#current?.claim === claim;
  }

  /** Tells whether a later claim is the current one; false while that isn't known. */
  isSuperseded(claim: FencingNumber): boolean {
    return this.#current !== undefined && this.#current.claim > claim;
  }

  /**
   * Starts at an offset and discards what was known before.
   *
   * @param first - the first offset that will be read
   */
  startAt(first: Offset): void {
    this.#first = first;
    this.#next = first;
    this.#current = first === 0 ? UNCLAIMED : undefined;
    this.#buffer = [];
  }

  /**
   * Skips offsets that a log tail leaves out, since their records are duplicates of earlier ones.
   *
   * @param next - the offset to read next
   */
  skipTo(next: Offset): void {
    if (this.#next !== undefined && next > this.#next) this.#next = next;
  }

  /**
   * Starts at an offset at which the current claim is known, such as that of a snapshot.
   *
   * @param claim - the offset of the last valid claim, or -1 for none
   * @param through - the first offset that will be read
   */
  startFromClaim(claim: FencingNumber, through: Offset): void {
    this.startAt(through);
    this.#current = { ...UNCLAIMED, claim };
  }

  /**
   * Applies the next record of the stream. A record that was read before is ignored. After a gap
   * the tracker discards what it knew and starts at the record.
   *
   * @param record - any record of the stream
   * @returns what the record changed for the duty
   */
  apply(record: LogRecord): DutyRecordEffect {
    if (this.#next !== undefined && record.offset < this.#next) return 'unrelated';
    if (this.#next === undefined || record.offset > this.#next) this.startAt(record.offset);
    this.#next = (record.offset + 1) as Offset;
    const parsed = parseDutyRecord(record);
    if (!parsed || parsed.body.duty !== this.duty) return 'unrelated';
    if (!isConsistent(parsed)) return 'void';
    return this.#current ? this.#evaluate(parsed) : this.#inferClaim(parsed);
  }

  #evaluate(record: DutyRecord): DutyRecordEffect {
    if (record.type === 'claim') return this.#evaluateClaim(record.offset, record.body);
    return this.#evaluateUpdate(record.offset, record.type, record.body);
  }

  #evaluateClaim(offset: Offset, body: Claim): DutyRecordEffect {
    const current = this.#current ?? UNCLAIMED;
    if (body.after === NO_CLAIM) {
      const hasNone = this.#hasNoRecordSince(current, body.through);
      if (hasNone === undefined) return this.#restartAfter(offset);
      if (!hasNone) return 'void';
    } else if (body.after !== current.claim) {
      return 'void';
    }
    this.#current = {
      claim: offset as number as FencingNumber,
      holder: body.holder,
      incarnation: body.incarnation,
      isReleased: false,
      lastRecordOffset: offset,
    };
    return 'claimed';
  }

  #evaluateUpdate(offset: Offset, type: 'renew' | 'release', body: ClaimUpdate): DutyRecordEffect {
    const current = this.#current ?? UNCLAIMED;
    if (body.claim !== current.claim) return 'void';
    this.#current = applyUpdate(current, offset, type, body);
    if (current.isReleased) return 'void';
    return type === 'release' ? 'released' : 'renewed';
  }

  /** Undefined when a record about the claim may precede the first record read. */
  #hasNoRecordSince(last: CurrentClaim, through: Offset): boolean | undefined {
    if (last.claim === NO_CLAIM) return true;
    if (last.lastRecordOffset !== undefined) return last.lastRecordOffset < through;
    return through >= (this.#first ?? 0) ? true : undefined;
  }

  // The validity of the claim at the offset can't be determined: everything up to it is discarded.
  #restartAfter(offset: Offset): DutyRecordEffect {
    this.#current = undefined;
    this.#first = (offset + 1) as Offset;
    this.#buffer = [];
    return 'undecided';
  }

  #inferClaim(record: DutyRecord): DutyRecordEffect {
    this.#addToBuffer(record);
    const { through } = record.body;
    if (through < (this.#first ?? 0)) return 'undecided';
    const claim = record.type === 'claim' ? record.body.after : record.body.claim;
    if (claim === NO_CLAIM) return this.#inferUnclaimed(record, through);
    this.#current = this.#rebuildClaim(claim, through);
    return this.#evaluateBufferFrom(through);
  }

  // The author knew of no claim. If no other record is undecided since, its own claim is valid.
  #inferUnclaimed(record: DutyRecord, through: Offset): DutyRecordEffect {
    const since = this.#buffer.filter((other) => other.offset >= through && other !== record);
    if (since.length > 0) return 'undecided';
    this.#current = UNCLAIMED;
    return this.#evaluateBufferFrom(record.offset);
  }

  // The claim was the last valid one at `through`, so every earlier record that names it was valid.
  #rebuildClaim(claim: FencingNumber, through: Offset): CurrentClaim {
    let current: CurrentClaim = { ...UNCLAIMED, claim };
    const earlier = this.#buffer.filter((record) => record.offset < through);
    earlier.forEach((record) => {
      const { offset, type, body } = record;
      if (type !== 'claim') {
        if (body.claim === claim) current = applyUpdate(current, offset, type, body);
      } else if (offset === (claim as number)) {
        const { holder, incarnation } = body;
        current = { claim, holder, incarnation, isReleased: false, lastRecordOffset: offset };
      }
    });
    return current;
  }

  #evaluateBufferFrom(offset: Offset): DutyRecordEffect {
    const later = this.#buffer.filter((record) => record.offset >= offset);
    this.#buffer = [];
    let effect: DutyRecordEffect = 'void';
    later.forEach((record) => {
      effect = this.#current ? this.#evaluate(record) : this.#inferClaim(record);
    });
    return effect;
  }

  #addToBuffer(record: DutyRecord): void {
    this.#buffer.push(record);
    if (this.#buffer.length <= MAX_BUFFERED_RECORDS) return;
    // Without the oldest record the tracker is as if it had started after it.
    const dropped = this.#buffer.shift();
    if (dropped) this.#first = (dropped.offset + 1) as Offset;
  }
}

// A renewal after the release is invalid, but still is the last record about the claim.
function applyUpdate(
  current: CurrentClaim,
  offset: Offset,
  type: 'renew' | 'release',
  body: ClaimUpdate,
): CurrentClaim {
  const { holder, incarnation } = body;
  const isReleased = current.isReleased || type === 'release';
  return { claim: current.claim, holder, incarnation, isReleased, lastRecordOffset: offset };
}

// An author has read the claim that it names, and reads only records before its own.
function isConsistent(record: DutyRecord): boolean {
  const { through } = record.body;
  const named = record.type === 'claim' ? record.body.after : record.body.claim;
  return (named === NO_CLAIM || named < through) && through <= record.offset;
}
