/** Decides which hosts should lead only if no other one does. */
import type { EntryHostSettings } from './entry_host_settings.ts'

/** Processor share below which a host delays its claim to lead. */
const SMALL_PROCESSOR_SHARE = 0.3

/** Link speed below which a host delays its claim to lead, in megabits per second: a faster link sends a change to all hosts within a fraction of a second. */
const SMALL_LINK_MEGABITS = 50

/**
 * Returns whether a host has little processor time or a slow link.
 *
 * @param settings Settings of the host.
 * @returns True if it should leave the lead to others.
 */
export function isSmallHost (settings: Pick<EntryHostSettings, 'processorShare' | 'linkMegabits'>): boolean {
  return settings.processorShare < SMALL_PROCESSOR_SHARE || settings.linkMegabits < SMALL_LINK_MEGABITS
}
