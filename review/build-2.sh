#!/bin/sh
# The cases of the second review are days for the bench: no stand-in has to be built.
exit 0
