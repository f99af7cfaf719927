/** Port of the platform's object store. */
import type { Result } from './result.ts'

/** Error of a failed call to the object store. */
export type ObjectError =
  | { readonly kind: 'unavailable', readonly detail: string }
  | { readonly kind: 'missing', readonly name: string }

/** Object store; objects are immutable and named by their digest. */
export interface ObjectStore {
  /** Reads the text of an object. */
  get (name: string): Promise<Result<string, ObjectError>>
  /** Stores the text of an object; storing the same object again has no effect. */
  put (name: string, text: string): Promise<Result<void, ObjectError>>
}
