/** Queues in which a relay holds requests until one of its servers has a free slot. */
export * from './create_server_queues.ts'
export * from './decide_entry.ts'
export * from './choose_slot.ts'
export * from './waiting_list.ts'
