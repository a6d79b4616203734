/** Incorrect acceptance rules, to show that the race detects them. */
import type { ConfigVersion, Offset } from '@hibiscushill/base';
import type { LogRecord } from '@hibiscushill/log';
import { ok } from 'neverthrow';

import { ConfigProjection, type ConfigState, type AppliedRecord, parseSnapshot } from '../src';
import type { Reader } from './race';

/** Accepts every change, whatever its base. */
export class LastWriteWins implements Reader {
  state: ConfigState | undefined;

  position = -1;

  isAttached = true;

  get version(): number {
    return this.state?.version ?? -1;
  }

  seek(first: Offset): void {
    if (first <= this.position + 1) return;
    this.isAttached = false;
    this.position = first - 1;
  }

  apply(record: LogRecord): AppliedRecord[] {
    this.position = record.offset;
    if (record.kind !== 'config.change') return [];
    const { declarations } = record.payload as { declarations: ConfigState['declarations'] };
    const version = record.offset as number as ConfigVersion;
    this.state = { version, asOf: record.offset, declarations };
    this.isAttached = true;
    return [{ record, effect: { type: 'accepted', version } }];
  }

  adopt(state: ConfigState) {
    if (state.version > this.version) this.state = state;
    return ok([]);
  }
}

/**
 * Adopts the first snapshot read while it knows no version, even if earlier records are missing.
 */
export class TrustsAnySnapshot extends ConfigProjection {
  override apply(record: LogRecord): AppliedRecord[] {
    const applied = super.apply(record);
    const snapshot = parseSnapshot(record);
    if (!this.isAttached && this.version < 0 && snapshot.isOk()) {
      super.adopt({ ...snapshot.value, asOf: record.offset });
    }
    return applied;
  }
}
