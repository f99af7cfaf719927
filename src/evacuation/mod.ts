/** Evacuations of availability zones, which operators order. */
export * from './evacuation.ts'
export * from './create_evacuation_record.ts'
export * from './create_evacuation_control.ts'
