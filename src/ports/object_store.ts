/** The platform's object store, as the rest of the project sees it. */
import type { Result } from './result.ts'

/** Why a call to the object store failed. */
export type ObjectError =
  | { readonly kind: 'unavailable', readonly detail: string }
  | { readonly kind: 'missing', readonly name: string }

/** Port of the object store; objects are immutable and named by their digest. */
export interface ObjectStore {
  /** Reads the text of an object. */
  get (name: string): Promise<Result<string, ObjectError>>
  /** Stores the text of an object; storing the same object again is harmless. */
  put (name: string, text: string): Promise<Result<void, ObjectError>>
}
