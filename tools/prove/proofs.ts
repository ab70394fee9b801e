/**
 * The list of all proofs.
 *
 * @module
 */
import {bookingProofs} from './booking-proofs.js';
import {budgetProofs} from './budget-proofs.js';
import {configurationProofs} from './configuration-proofs.js';
import {entryFailureProofs} from './entry-failure-proofs.js';
import {deliveryProofs} from './delivery-proofs.js';
import type {Proof} from './proof.js';
import {stopProofs} from './stop-proofs.js';

/** All proofs, grouped by subject. */
export const proofs: readonly Proof[] = [...budgetProofs, ...entryFailureProofs, ...bookingProofs, ...deliveryProofs, ...stopProofs, ...configurationProofs];
