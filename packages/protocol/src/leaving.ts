/** Which frames of an agent say that its target is leaving. */
import { RESULT_CODES } from '@hibiscushill/base';

import type { AgentFrame } from './generated/link';

/**
 * Checks whether a frame says that the agent's target is leaving. Agents of earlier versions say it
 * in three kinds of frames only.
 *
 * @param message - the frame
 * @returns whether it does
 */
export function saysLeaving({ frame, leavingAgeMs }: AgentFrame): boolean {
  if (leavingAgeMs !== undefined) return true;
  switch (frame?.$case) {
    case 'hello':
    case 'load':
      return frame.value.leaving;
    case 'notRun':
      return frame.value.code === RESULT_CODES.target_leaving.code;
    default:
      return false;
  }
}
