#include "overload/engine_pace.h"
