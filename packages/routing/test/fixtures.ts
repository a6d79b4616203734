/** Factories for targets, requests and queue items with defaults. */
import {
  type AttemptId,
  type MonoTime,
  type ServiceId,
  type TargetId,
  type TeamId,
  type ZoneId,
} from '@hibiscushill/base';

import type { TargetChoiceRequest, QueueItem, TargetView } from '../src';

export const SERVICE = 'tasting-models' as ServiceId;

export function createTarget(id: string, changes: Partial<TargetView> = {}): TargetView {
  return {
    id: id as TargetId,
    zone: 'ba' as ZoneId,
    inFlight: 0,
    reported: { running: 0, queued: 0, queuedTokens: 0, slots: 8, receivedAt: 0 as MonoTime },
    sentSinceReport: 0,
    leaving: false,
    ejected: false,
    ready: true,
    ...changes,
  };
}

export function createRequest(changes: Partial<TargetChoiceRequest> = {}): TargetChoiceRequest {
  return { service: SERVICE, zone: 'ba' as ZoneId, costTokens: 1, exclude: new Set(), ...changes };
}

export function createItem(
  id: string,
  changes: { team?: string; weight?: number; costTokens?: number; deadline?: number } = {},
): QueueItem<string> {
  const { team = 'a', weight = 1, costTokens = 1, deadline = Infinity } = changes;
  return {
    id: id as AttemptId,
    team: team as TeamId,
    weight,
    costTokens,
    deadline: deadline as MonoTime,
    value: id,
  };
}
