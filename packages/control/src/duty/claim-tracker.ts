/** Who holds a duty, as every reader of its stream works it out alike. */
import type { FencingNumber, IncarnationId, InstanceId, Offset } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';

import {
  type Claim,
  type DutyName,
  type DutyRecord,
  NO_CLAIM,
  type Sign,
  parseDutyRecord,
} from './records';

const BUFFER_LIMIT = 1_024;

/** What a record meant for the duty. */
export type DutyVerdict = 'claimed' | 'renewed' | 'released' | 'void' | 'undecided' | 'unrelated';

/** The duty's present claim. */
export interface PresentClaim {
  /** The claim's offset, or -1 when the duty was never claimed. */
  readonly claim: FencingNumber;
  /** Unknown when the claim stands before the first record read and wasn't renewed since. */
  readonly holder: InstanceId | undefined;
  readonly incarnation: IncarnationId | undefined;
  readonly isReleased: boolean;
  /** The offset of the last record that names the claim, or undefined when it wasn't read. */
  readonly lastSign: Offset | undefined;
}

const UNCLAIMED: PresentClaim = {
  claim: NO_CLAIM,
  holder: undefined,
  incarnation: undefined,
  isReleased: false,
  lastSign: undefined,
};

/**
 * The history of one duty's claims, made from the records of its stream in their order.
 *
 * A claim is valid iff its `after` is the offset of the last valid claim. `after` -1 is valid iff
 * neither the last valid claim nor a record that names it stands at or after the claim's own
 * `through`. A renewal or release counts iff it names the present claim, which wasn't released
 * before. A reader that starts at a trimmed offset decides nothing until
 * it reads a record whose author had read the stream up to an offset within what this reader has
 * read: that record tells the present claim at that offset, from which the reader decides all
 * that followed.
 */
export class ClaimHistory {
  readonly duty: DutyName;

  #first: Offset | undefined;

  #next: Offset | undefined;

  #present: PresentClaim | undefined;

  #buffer: DutyRecord[] = [];

  /** @param duty - the duty whose records count */
  constructor(duty: DutyName) {
    this.duty = duty;
  }

  /** The offset from which on every record was read, or undefined before the start is known. */
  get first(): Offset | undefined {
    return this.#first;
  }

  /** The offset to read next, or undefined before the start is known. */
  get next(): Offset | undefined {
    return this.#next;
  }

  /** The present claim, or undefined while nothing can be decided. */
  get present(): PresentClaim | undefined {
    return this.#present;
  }

  /** Tells whether a claim is the present one. */
  isPresent(claim: FencingNumber): boolean {
    return claim !== NO_CLAIM && this.#present?.claim === claim;
  }

  /** Tells whether a claim has been superseded; false while nothing can be decided. */
  isSuperseded(claim: FencingNumber): boolean {
    return this.#present !== undefined && this.#present.claim > claim;
  }

  /**
   * Starts the history at an offset; what was known before is dropped.
   *
   * @param first - the first offset that will be read
   */
  startAt(first: Offset): void {
    this.#first = first;
    this.#next = first;
    this.#present = first === 0 ? UNCLAIMED : undefined;
    this.#buffer = [];
  }

  /**
   * Passes over records that repeat earlier ones, which a tail leaves out.
   *
   * @param next - the offset to take next
   */
  skipTo(next: Offset): void {
    if (this.#next !== undefined && next > this.#next) this.#next = next;
  }

  /**
   * Starts the history from a claim that is known to be the last valid one.
   *
   * @param claim - the claim's offset, or -1 for none
   * @param through - the offset up to which that is known
   */
  startFrom(claim: FencingNumber, through: Offset): void {
    this.startAt(through);
    this.#present = { ...UNCLAIMED, claim };
  }

  /**
   * Takes the next record of the stream. A record read before is ignored; a gap starts the
   * history anew at the record.
   *
   * @param record - any record of the stream
   * @returns what it meant for the duty
   */
  apply(record: LogRecord): DutyVerdict {
    if (this.#next !== undefined && record.offset < this.#next) return 'unrelated';
    if (this.#next === undefined || record.offset > this.#next) this.startAt(record.offset);
    this.#next = (record.offset + 1) as Offset;
    const parsed = parseDutyRecord(record);
    if (!parsed || parsed.body.duty !== this.duty) return 'unrelated';
    if (!isHonest(parsed)) return 'void';
    return this.#present ? this.#decide(parsed) : this.#learn(parsed);
  }

  #decide(record: DutyRecord): DutyVerdict {
    if (record.type === 'claim') return this.#decideClaim(record.offset, record.body);
    return this.#decideSign(record.offset, record.type, record.body);
  }

  #decideClaim(offset: Offset, body: Claim): DutyVerdict {
    const present = this.#present ?? UNCLAIMED;
    if (body.after === NO_CLAIM) {
      const isQuiet = this.#isQuietSince(present, body.through);
      if (isQuiet === undefined) return this.#doubt(offset);
      if (!isQuiet) return 'void';
    } else if (body.after !== present.claim) {
      return 'void';
    }
    this.#present = {
      claim: offset as number as FencingNumber,
      holder: body.holder,
      incarnation: body.incarnation,
      isReleased: false,
      lastSign: offset,
    };
    return 'claimed';
  }

  #decideSign(offset: Offset, type: 'renew' | 'release', body: Sign): DutyVerdict {
    const present = this.#present ?? UNCLAIMED;
    if (body.claim !== present.claim) return 'void';
    this.#present = addSign(present, offset, type, body);
    if (present.isReleased) return 'void';
    return type === 'release' ? 'released' : 'renewed';
  }

  #isQuietSince(present: PresentClaim, through: Offset): boolean | undefined {
    if (present.claim === NO_CLAIM) return true;
    if (present.lastSign !== undefined) return present.lastSign < through;
    return through >= (this.#first ?? 0) ? true : undefined;
  }

  // What can't be decided has the same effect as a start after it.
  #doubt(offset: Offset): DutyVerdict {
    this.#present = undefined;
    this.#first = (offset + 1) as Offset;
    this.#buffer = [];
    return 'undecided';
  }

  #learn(record: DutyRecord): DutyVerdict {
    this.#keep(record);
    const { through } = record.body;
    if (through < (this.#first ?? 0)) return 'undecided';
    const claim = record.type === 'claim' ? record.body.after : record.body.claim;
    if (claim === NO_CLAIM) return this.#learnQuiet(record, through);
    this.#present = this.#replay(claim, through);
    return this.#decideFrom(through);
  }

  // The author knew no claim. With nothing undecided since, its own claim is the first to count.
  #learnQuiet(record: DutyRecord, through: Offset): DutyVerdict {
    const since = this.#buffer.filter((other) => other.offset >= through && other !== record);
    if (since.length > 0) return 'undecided';
    this.#present = UNCLAIMED;
    return this.#decideFrom(record.offset);
  }

  // Until `through` the claim was the last valid one, so every record that names it counted.
  #replay(claim: FencingNumber, through: Offset): PresentClaim {
    let present: PresentClaim = { ...UNCLAIMED, claim };
    const earlier = this.#buffer.filter((record) => record.offset < through);
    earlier.forEach((record) => {
      const { offset, type, body } = record;
      if (type !== 'claim') {
        if (body.claim === claim) present = addSign(present, offset, type, body);
      } else if (offset === (claim as number)) {
        const { holder, incarnation } = body;
        present = { claim, holder, incarnation, isReleased: false, lastSign: offset };
      }
    });
    return present;
  }

  #decideFrom(offset: Offset): DutyVerdict {
    const later = this.#buffer.filter((record) => record.offset >= offset);
    this.#buffer = [];
    let verdict: DutyVerdict = 'void';
    later.forEach((record) => {
      verdict = this.#present ? this.#decide(record) : this.#learn(record);
    });
    return verdict;
  }

  #keep(record: DutyRecord): void {
    this.#buffer.push(record);
    if (this.#buffer.length <= BUFFER_LIMIT) return;
    // Dropping the oldest is the same as having started after it.
    const dropped = this.#buffer.shift();
    if (dropped) this.#first = (dropped.offset + 1) as Offset;
  }
}

// A renewal that lands after the release changes nothing but when the holder was last heard.
function addSign(
  present: PresentClaim,
  offset: Offset,
  type: 'renew' | 'release',
  body: Sign,
): PresentClaim {
  const { holder, incarnation } = body;
  const isReleased = present.isReleased || type === 'release';
  return { claim: present.claim, holder, incarnation, isReleased, lastSign: offset };
}

// An author reads before it writes: what it names stands before what it had read through.
function isHonest(record: DutyRecord): boolean {
  const { through } = record.body;
  const named = record.type === 'claim' ? record.body.after : record.body.claim;
  return (named === NO_CLAIM || named < through) && through <= record.offset;
}
