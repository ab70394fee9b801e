/**
 * Loaded before a daemon in a proof without its guard: replaces modules of the
 * product by others that lack the guard. The product itself has no switch.
 *
 * @module
 */
import {register} from 'node:module';

register('./replace-hooks.js', import.meta.url);
